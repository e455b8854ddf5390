#include "relay/relay_fixture.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

/// Time from the header of an answer to the crash of its engine; longer than
/// the time in which crashes count as one.
constexpr duration crash_delay = 150ms;

/// Crashes after which no more requests with the part may reach engines.
constexpr std::size_t max_crashes = 5;

/// Engines that crash as they begin to write an answer to a prompt with the
/// part "dead".
class crashing_engines : public relay_fixture
{
public:
    crashing_engines()
    {
        this->node.bounds.retry_slack = 100'000;
        for (int number = 0; number < 9; ++number)
        {
            this->add_crashing_engine(fmt::format("e{}", number));
        }
    }

    /// A request of its own content, with these shared parts of its prompt.
    std::string prompt(const std::string& shared)
    {
        const int number = ++this->prompts;
        return get(
            fmt::format("/stream/{}/", number),
            fmt::format(
                "X-Fireflysail-Prompt-Prefix: {},{:x}:250\r\n",
                shared,
                number));
    }

    std::size_t crashes = 0;

private:
    void add_crashing_engine(const std::string& id)
    {
        this->add_engine(
            id,
            [this](std::size_t, const http_request& request)
            {
                const auto prefix = request["X-Fireflysail-Prompt-Prefix"];
                if (prefix.find("dead:") == prefix.npos)
                {
                    return events(1, 3, true);
                }
                ++this->crashes;
                scripted_answer answer = events(1, 0, false);
                answer.closes = false;
                answer.crashes = true;
                answer.pause = crash_delay;
                return answer;
            });
    }

    int prompts = 0;
};

} // namespace

TEST_CASE_METHOD(
    crashing_engines,
    "requests that share a part of their prompt crash one engine after another")
{
    std::vector<std::string> requests;
    for (int round = 0; round < 8; ++round)
    {
        requests.push_back(this->prompt("5c1e:800,dead:410"));
        requests.push_back(this->prompt("5c1e:800"));
    }
    const auto answers = this->ask(requests);
    REQUIRE(answers.size() == requests.size());
    CHECK(this->crashes <= max_crashes);
    // Requests with the other part are served all the while.
    for (std::size_t sound = 1; sound < answers.size(); sound += 2)
    {
        CHECK(answers[sound].status == 200);
        CHECK(answers[sound].whole);
    }
    const received_answer& last = answers[answers.size() - 2];
    CHECK(last.status == 503);
    CHECK(last.header.count("Retry-After") == 1);
}

TEST_CASE_METHOD(
    crashing_engines,
    "a request that crashes its engine after the header runs on and on")
{
    const std::string request = this->prompt("dead:410");
    const auto answers = this->ask({request, request, request});
    REQUIRE(answers.size() == 3);
    CHECK(answers[0].status == 502);
    CHECK(answers[1].status == 503);
    CHECK(answers[2].status == 503);
    CHECK(this->crashes <= 2);
}

TEST_CASE_METHOD(
    relay_fixture,
    "a request is lost with an engine that another request crashed")
{
    std::size_t received = 0;
    const auto crash_first = [&received](std::size_t, const http_request&)
    {
        scripted_answer answer = events(1, 3, true);
        if (++received == 1)
        {
            answer.bytes.clear();
            answer.crashes = true;
        }
        return answer;
    };
    this->node.bounds.retry_slack = 100'000;
    this->add_engine("e1", crash_first);
    this->add_engine("e2", crash_first);
    const auto answers = this->ask({get("/stream/"), get("/stream/")});
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].status == 200);
    CHECK(answers[1].status == 200);
}
