#include "relay/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

/// What a server that names two requests a second may get within four seconds.
constexpr std::size_t most_received = 17;

scripted_answer with_limit(scripted_answer answer)
{
    const auto end = answer.bytes.find("\r\n") + 2;
    answer.bytes.insert(end, "Server-Limit: 2.0\r\n");
    return answer;
}

scripted_answer serve(std::size_t, const http_request&)
{
    return events(1, 2, true);
}

scripted_answer serve_with_limit(std::size_t, const http_request&)
{
    return with_limit(events(1, 2, true));
}

std::size_t
count_status(const std::vector<received_answer>& answers, unsigned status)
{
    return static_cast<std::size_t>(
        std::ranges::count(answers, status, &received_answer::status));
}

} // namespace

TEST_CASE_METHOD(
    relay_fixture,
    "an engine gets more requests than it names while another has room")
{
    const auto& limited = this->add_engine("e1", serve_with_limit);
    this->add_engine("e2", serve);
    const std::vector<std::string> requests(80, get("/stream/"));
    const auto answers = this->ask(requests);
    CHECK(count_status(answers, 200) == requests.size());
    CHECK(!limited.received.empty());
    CHECK(limited.received.size() <= most_received);
}

TEST_CASE_METHOD(
    relay_fixture, "the only engine gets more requests than it names")
{
    const auto& limited = this->add_engine("e1", serve_with_limit);
    const std::vector<std::string> requests(60, get("/stream/"));
    const auto answers = this->ask(requests);
    CHECK(limited.received.size() <= most_received);
    REQUIRE(answers.size() == requests.size());
    CHECK(answers.front().status == 200);
    const received_answer& last = answers.back();
    CHECK(last.status == 503);
    CHECK(last.header.count("Retry-After") == 1);
}

TEST_CASE_METHOD(
    relay_fixture, "a plain server gets more requests than it names")
{
    const auto& limited = this->add_desk(
        "home",
        [](std::size_t, const http_request&)
        {
            return with_limit(whole_answer(200, "done"));
        });
    const std::string path = GENERATE("/safe/", "/once/");
    const std::vector<std::string> requests(60, get(path));
    const auto answers = this->ask(requests);
    CHECK(limited.received.size() <= most_received);
    REQUIRE(answers.size() == requests.size());
    CHECK(answers.front().status == 200);
    CHECK(answers.back().status == 503);
}
