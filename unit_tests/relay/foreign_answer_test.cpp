#include "relay/relay_fixture.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

using numbered = std::size_t;

/// A request of its own, as a caller's attempts each have an id.
std::string
get_as(const std::string& attempt, const std::string& path, bool is_head)
{
    std::string text = relay_fixture::get(path);
    text.replace(text.find("9c41"), 4, attempt);
    return is_head ? text.replace(0, 3, "HEAD") : text;
}

std::string attempt_of(const http_request& request)
{
    const auto field = request["X-Fireflysail-Attempt-Id"];
    return {field.data(), field.size()};
}

/// How a refusal names the attempt that it answers.
std::string id_field(const std::string& attempt)
{
    return attempt.empty() ? std::string{}
                           : "X-Fireflysail-Attempt-Id: " + attempt + "\r\n";
}

/// What a refusal may say of its server.
const std::string server_words = "Server-Leaving: 1\r\nRetry-After: 7\r\n"
                                 "X-Fireflysail-Server-Load: 9,9,9\r\n";

std::string refusal_of(
    int status,
    const std::string& id,
    bool has_body,
    const std::string& more_fields = server_words)
{
    return fmt::format(
        "HTTP/1.1 {} X\r\n{}X-Fireflysail-Not-Executed: 1\r\n{}{}",
        status,
        id,
        more_fields,
        has_body ? "Content-Length: 5\r\n\r\nfull\n"
                 : "Content-Length: 0\r\n\r\n");
}

std::string true_answer(const std::string& path, const std::string& attempt)
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + id_field(attempt) +
                             "X-Fireflysail-Server-Stamp: stamp\r\n";
    return path == "/stream/" ? head +
                                    "Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked\r\n\r\n"
                                    "13\r\nid: 1\ndata: x" +
                                    attempt + "\n\n\r\n0\r\n\r\n"
                              : head + "Content-Length: 4\r\n\r\n" + attempt;
}

std::string body_of(const std::string& path, const std::string& attempt)
{
    return path == "/stream/" ? "id: 1\ndata: x" + attempt + "\n\n" : attempt;
}

/// When a copy of an earlier refusal is written.
enum class moment
{
    same_packet,
    before_request,
    after_request,
    late_after_request,
};

struct copied_refusal
{
    int status = 503;
    /// Of the copy; nothing for none.
    std::string id;
    bool has_body = false;
    moment when = moment::after_request;
    std::size_t copies = 1;
    /// The first request is refused; else it runs, and what is copied answered
    /// one of before.
    bool refuses_first = true;
    /// The answer to the request in progress never comes.
    bool breaks_off = false;
};

std::vector<std::string> split(const std::string& text, std::size_t size)
{
    std::vector<std::string> parts;
    for (std::size_t at = 0; at < text.size(); at += size)
    {
        parts.push_back(text.substr(at, size));
    }
    return parts;
}

struct fixture : relay_fixture
{
    /// Refuses the first request truly and runs all others, but writes copies
    /// of its refusal.
    scripted_server::script
    copy_refusals(const std::string& path, const copied_refusal& how)
    {
        return [this, path, how](numbered number, const http_request& request)
        {
            const std::string attempt = attempt_of(request);
            std::string copies;
            for (std::size_t i = 0; i < how.copies; ++i)
            {
                copies +=
                    refusal_of(how.status, id_field(how.id), how.has_body);
            }
            scripted_answer answer;
            if (number == 0)
            {
                answer.bytes = true_answer(path, attempt);
                if (how.refuses_first)
                {
                    answer.bytes = refusal_of(
                        how.status, id_field(attempt), how.has_body, "");
                }
                else
                {
                    this->ran.push_back(attempt);
                }
                if (how.when == moment::same_packet)
                {
                    answer.bytes += copies;
                }
                if (how.when == moment::before_request)
                {
                    answer.pieces = {copies};
                }
                return answer;
            }
            this->ran.push_back(attempt);
            const std::string own =
                how.breaks_off ? std::string{} : true_answer(path, attempt);
            if (number == 1 && how.when == moment::after_request)
            {
                answer.bytes = copies;
                answer.pieces = {own};
            }
            else if (number == 1 && how.when == moment::late_after_request)
            {
                answer.pieces = split(copies, 23);
                answer.pieces.push_back(own);
                answer.pause = 1ms;
            }
            else
            {
                answer.bytes = own;
            }
            return answer;
        };
    }

    /// Requests that were run, in order; one that ran twice stands here twice.
    std::vector<std::string> ran;
};

bool is_promise(unsigned status)
{
    return status == 503 || status == 429 || status == 421 || status == 408 ||
           status == 400;
}

} // namespace

// Guards against a request that has run being answered 'not run', or being run
// at a second server.
TEST_CASE_METHOD(
    fixture, "a copy of an earlier refusal refuses no other request")
{
    const std::string path = GENERATE("/safe/", "/once/", "/stream/");
    const std::string id = GENERATE("aaaa", "", "zzzz");
    const auto when = GENERATE(
        moment::same_packet,
        moment::before_request,
        moment::after_request,
        moment::late_after_request);
    copied_refusal how;
    how.status = GENERATE(503, 429, 421, 400);
    how.id = id;
    how.when = when;
    how.has_body = GENERATE(false, true);
    how.copies = GENERATE(1U, 2U);
    how.refuses_first = GENERATE(false, true);
    this->config->routes["shop.example"][2].resumable = false;
    for (route& each : this->config->routes["shop.example"])
    {
        each.most_attempts = 3;
    }
    auto& faulty = this->add(path, "home", this->copy_refusals(path, how));
    const bool has_other = GENERATE(false, true);
    const bool is_alone = path == "/stream/" && !has_other;
    if (is_alone && how.refuses_first)
    {
        // The engine is not asked again on the connection.
        return;
    }
    if (has_other)
    {
        this->add(
            path,
            "other",
            [this, path](numbered, const http_request& request)
            {
                this->ran.push_back(attempt_of(request));
                scripted_answer answer;
                answer.bytes = true_answer(path, attempt_of(request));
                return answer;
            });
    }
    std::vector<std::string> attempts{"aaaa", "bbbb", "cccc", "dddd"};
    // An engine that failed is avoided after that.
    attempts.resize(is_alone ? 2 : 4);
    std::vector<std::string> requests;
    for (const std::string& attempt : attempts)
    {
        requests.push_back(get_as(attempt, path, false));
    }
    const auto answers = this->ask(requests);
    INFO(
        path << " " << how.status << " id " << id << " when "
             << static_cast<int>(when) << " body " << how.has_body << " copies "
             << how.copies << " home " << faulty.received.size());
    REQUIRE(answers.size() == attempts.size());
    for (std::size_t i = 0; i < attempts.size(); ++i)
    {
        CAPTURE(attempts[i], answers[i].status);
        const auto runs = std::ranges::count(this->ran, attempts[i]);
        CHECK((path == "/safe/" || runs <= 1));
        CHECK((runs == 0 || !is_promise(answers[i].status)));
        CHECK(
            (answers[i].status == 502 || runs == 0 ||
             (answers[i].status == 200 &&
              answers[i].body == body_of(path, attempts[i]))));
    }
    // Each request that could be on the connection with the copies was.
    CHECK((how.refuses_first || has_other || faulty.received.size() >= 2));
    // What a copy says of the server is not news.
    CHECK(this->leaving.empty());
}

TEST_CASE_METHOD(
    fixture, "a copy of an earlier refusal promises nothing of a lost request")
{
    const std::string path = GENERATE("/once/", "/stream/");
    copied_refusal how;
    how.id = GENERATE("aaaa", "", "zzzz");
    how.when = GENERATE(moment::after_request, moment::late_after_request);
    how.breaks_off = true;
    this->config->routes["shop.example"][2].resumable = false;
    this->add(path, "home", this->copy_refusals(path, how));
    const std::string limit = "X-Fireflysail-Deadline-Ms: 300\r\n";
    std::vector<std::string> requests;
    for (const char* attempt : {"aaaa", "bbbb"})
    {
        std::string request = get_as(attempt, path, false);
        requests.push_back(request.insert(request.find("\r\n") + 2, limit));
    }
    const auto answers = this->ask(requests);
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].status == 503);
    CAPTURE(answers[1].status);
    CHECK((answers[1].status == 502 || answers[1].status == 504));
}

// A copy that breaks off in its head is followed by the true answer.
TEST_CASE_METHOD(
    fixture, "the rest of a refusal that broke off in its head refuses nothing")
{
    const std::string path = GENERATE("/once/", "/stream/");
    this->config->routes["shop.example"][2].resumable = false;
    const std::string id = GENERATE("aaaa", "");
    const std::string copy = refusal_of(503, id_field(id), false);
    std::size_t cut = 0;
    const auto script =
        [this, path, &cut, &copy](numbered, const http_request& request)
    {
        const std::string attempt = attempt_of(request);
        scripted_answer answer;
        answer.bytes = true_answer(path, attempt);
        if (attempt == "bbbb")
        {
            this->ran.push_back(attempt);
            answer.bytes = copy.substr(0, cut) + answer.bytes;
        }
        return answer;
    };
    this->add(path, "home", script);
    this->add(path, "other", script);
    // A part of a body swallows the answer: its time ends the wait.
    this->config->routes["shop.example"][1].timeout = 100ms;
    this->config->routes["shop.example"][2].timeout = 100ms;
    for (cut = 0; cut < copy.size(); ++cut)
    {
        this->ran.clear();
        const auto answers = this->ask(
            {get_as("aaaa", path, false), get_as("bbbb", path, false)});
        REQUIRE(answers.size() == 2);
        CAPTURE(cut, copy.substr(0, cut), answers[1].status);
        CHECK(this->ran.size() == 1);
        CHECK(
            (answers[1].status == 502 || answers[1].status == 504 ||
             (answers[1].status == 200 &&
              answers[1].body == body_of(path, "bbbb"))));
    }
}

// Answers to HEAD have no body, so that the end of another one is not known.
TEST_CASE_METHOD(
    fixture, "a copy of an answer with a body does not answer a HEAD request")
{
    const std::string path = GENERATE("/safe/", "/once/");
    const bool first_is_head = GENERATE(false, true);
    const std::string inner = refusal_of(503, id_field("bbbb"), false);
    this->add_desk(
        "home",
        [&](numbered, const http_request& request)
        {
            const std::string attempt = attempt_of(request);
            scripted_answer answer;
            if (attempt == "aaaa")
            {
                answer.bytes = fmt::format(
                    "HTTP/1.1 200 OK\r\n{}X-Fireflysail-Server-Stamp: s\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    id_field(attempt),
                    inner.size(),
                    first_is_head ? "" : inner);
                return answer;
            }
            this->ran.push_back(attempt);
            // The copy, with a body that looks like a refusal.
            answer.bytes = fmt::format(
                "HTTP/1.1 200 OK\r\n{}X-Fireflysail-Server-Stamp: s\r\n"
                "Content-Length: {}\r\n\r\n{}",
                id_field("aaaa"),
                inner.size(),
                inner);
            answer.pieces = {
                "HTTP/1.1 200 OK\r\n" + id_field(attempt) +
                "X-Fireflysail-Server-Stamp: s\r\n"
                "Content-Length: 4\r\n\r\n"};
            return answer;
        });
    auto& other = this->add_desk(
        "other",
        [this](numbered, const http_request& request)
        {
            this->ran.push_back(attempt_of(request));
            return whole_answer(200, "done");
        });
    this->config->routes["shop.example"][0].timeout = 300ms;
    this->config->routes["shop.example"][1].timeout = 300ms;
    // Read with the test's parser, which expects a body unless it is told.
    const auto answers = this->ask(
        {get_as("aaaa", path, first_is_head),
         get_as("bbbb", path, !first_is_head)});
    CAPTURE(answers.size(), other.received.size());
    if (answers.size() == 2)
    {
        CAPTURE(answers[1].status);
        CHECK_FALSE(is_promise(answers[1].status));
    }
    CHECK((path == "/safe/" || std::ranges::count(this->ran, "bbbb") <= 1));
}
