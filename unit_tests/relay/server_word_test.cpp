#include "relay/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t request_count = 40;

scripted_answer with_field(scripted_answer answer, const std::string& field)
{
    const auto end = answer.bytes.find("\r\n") + 2;
    answer.bytes.insert(end, field + "\r\n");
    return answer;
}

scripted_answer serve(std::size_t, const http_request& request)
{
    const auto target = request.target();
    return target.starts_with("/stream/") ? events(1, 2, true)
                                          : whole_answer(200, "done");
}

/// Serves as ever, with a field in each answer.
scripted_server::script serve_with(const std::string& field)
{
    return [field](std::size_t number, const http_request& request)
    {
        return with_field(serve(number, request), field);
    };
}

scripted_server::script refuse_with(const std::string& field)
{
    return [field](std::size_t, const http_request&)
    {
        return refusal(field + "\r\n");
    };
}

struct fixture : relay_fixture
{
    std::vector<received_answer> ask_often(const std::string& path)
    {
        return this->ask(std::vector<std::string>(request_count, get(path)));
    }
};

std::ptrdiff_t
count_status(const std::vector<received_answer>& answers, unsigned status)
{
    return std::ranges::count(answers, status, &received_answer::status);
}

} // namespace

TEST_CASE_METHOD(fixture, "a server that says it leaves gets no more requests")
{
    const std::string path = GENERATE("/safe/", "/once/", "/stream/");
    const auto script = GENERATE(
        serve_with("Server-Leaving: 1"), refuse_with("Server-Leaving: 1"));
    const bool is_stream = path == "/stream/";
    auto& leaving = is_stream ? this->add_engine("home", script)
                              : this->add_desk("home", script);
    if (is_stream)
    {
        this->add_engine("e2", serve);
    }
    else
    {
        this->add_desk("d2", serve);
    }
    const auto answers = this->ask_often(path);
    CHECK(count_status(answers, 200) == request_count);
    CHECK(leaving.received.size() <= 1);
    CHECK(this->leaving.size() == leaving.received.size());
}

TEST_CASE_METHOD(fixture, "a server that says something else goes on")
{
    const std::string value = GENERATE("0", "", "yes", "11");
    this->add_desk("home", serve_with("Server-Leaving: " + value));
    CHECK(count_status(this->ask_often("/once/"), 200) == request_count);
    CHECK(this->leaving.empty());
}

TEST_CASE_METHOD(fixture, "a server that backs off gets no more requests")
{
    const std::string path = GENERATE("/safe/", "/once/", "/stream/");
    const bool is_stream = path == "/stream/";
    const auto script = refuse_with("Retry-After: 60.5");
    auto& refusing = is_stream ? this->add_engine("home", script)
                               : this->add_desk("home", script);
    if (is_stream)
    {
        this->add_engine("e2", serve);
    }
    else
    {
        this->add_desk("d2", serve);
    }
    CHECK(count_status(this->ask_often(path), 200) == request_count);
    CHECK(refusing.received.size() <= 1);
}

TEST_CASE_METHOD(
    fixture, "while all servers back off requests are refused at once")
{
    const std::string path = GENERATE("/safe/", "/once/", "/stream/");
    const auto near = refuse_with("Retry-After: 20");
    const auto far = refuse_with("Retry-After: 60");
    auto& first = this->add_desk("d1", near);
    auto& second = this->add_desk("d2", far);
    auto& third = this->add_engine("e1", near);
    auto& fourth = this->add_engine("e2", far);
    const time_point began = this->time.now();
    const auto answers = this->ask_often(path);
    CHECK(this->time.now() - began < 4s);
    CHECK(count_status(answers, 503) == request_count);
    for (scripted_server* const server : {&first, &second, &third, &fourth})
    {
        CHECK(server->received.size() <= 1);
    }
    // Our own word, by the first that takes requests again.
    const double seconds =
        std::stod(std::string{answers.back().header["Retry-After"]});
    CHECK(seconds > 15);
    CHECK(seconds < 21);
    CHECK(
        answers.front().header["Retry-After"] !=
        answers.back().header["Retry-After"]);
}

TEST_CASE_METHOD(fixture, "a time that cannot be used is no backoff")
{
    const std::string value =
        GENERATE("-1", "nan", "soon", "Fri, 31 Dec 1999 23:59:59 GMT");
    auto& refusing =
        this->add_desk("home", refuse_with("Retry-After: " + value));
    this->ask_often("/once/");
    CHECK(refusing.received.size() == request_count);
}
