#include "relay/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdio>
#include <string>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

using numbered = std::size_t;

/// Callers give up after this time; answers must end before.
const std::string caller_limit = "X-Fireflysail-Deadline-Ms: 5000\r\n";

/// Buffers of sockets hold some bytes that were sent and never read.
constexpr std::size_t most_bytes_taken = std::size_t{32} * 1024 * 1024;

const std::string stream_head =
    "HTTP/1.1 200 OK\r\nX-Fireflysail-Attempt-Id: ID\r\n"
    "X-Fireflysail-Server-Stamp: stamp\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

scripted_server::script always(const scripted_answer& answer)
{
    return [answer](numbered, const http_request&)
    {
        return answer;
    };
}

scripted_answer endless(const std::string& bytes, const std::string& more)
{
    scripted_answer answer;
    answer.bytes = bytes;
    answer.endless = more;
    return answer;
}

std::string chunk_of(const std::string& bytes)
{
    char size[20];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

/// A non-resumable stream route, so that only silence ends a run.
struct single_run_fixture : relay_fixture
{
    single_run_fixture()
    {
        for (route& each : this->config->routes["shop.example"])
        {
            each.resumable = false;
        }
        this->node.bounds.stage_stall = 100ms;
    }

    received_answer ask_stream()
    {
        const auto answers = this->ask({get("/stream/", caller_limit)});
        REQUIRE(answers.size() == 1);
        return answers.front();
    }
};

} // namespace

TEST_CASE_METHOD(
    single_run_fixture, "a stalled stream that sends a byte now and then ends")
{
    // Neither a comment nor part of an event is progress.
    const std::string drip = GENERATE(
        chunk_of(":"), chunk_of(": ping\n\n"), chunk_of("data: x\n\n"));
    auto answer = endless(stream_head + chunk_of("id: 1\ndata: x\n\n"), drip);
    answer.pause = 10ms;
    auto& engine = this->add_engine("e1", always(answer));
    CHECK_FALSE(this->ask_stream().whole);
    // Silence ends after 0.4 s, the caller's time after 5 s.
    CHECK(engine.endless_bytes <= 200 * drip.size());
}

TEST_CASE_METHOD(
    single_run_fixture, "a slow stream whose events go on is not cut")
{
    // Comes in pieces of three bytes: an event takes 70 ms, all of them longer
    // than the 0.4 s after which a stream counts as silent.
    std::string text;
    for (int id = 1; id <= 12; ++id)
    {
        text += "id: " + std::to_string(10 + id) + "\ndata: x\n\n";
    }
    scripted_answer answer;
    answer.bytes = stream_head;
    for (std::size_t at = 0; at < text.size(); at += 3)
    {
        answer.pieces.push_back(chunk_of(text.substr(at, 3)));
    }
    answer.pieces.emplace_back("0\r\n\r\n");
    answer.pause = 10ms;
    this->add_engine("e1", always(answer));
    const auto got = this->ask_stream();
    CHECK(got.whole);
    CHECK(got.body == text);
}

TEST_CASE_METHOD(
    single_run_fixture, "bytes without end in a stream's body are cut off")
{
    auto& engine = this->add_engine(
        "e1", always(endless(stream_head, chunk_of(std::string(65536, 'x')))));
    CHECK(this->ask_stream().status == 502);
    CHECK(engine.endless_bytes <= most_bytes_taken);
}

TEST_CASE_METHOD(
    single_run_fixture, "bytes without end in a stream's head are cut off")
{
    auto& engine = this->add_engine(
        "e1", always(endless("HTTP/1.1 200 OK\r\n", "X-A: b\r\n")));
    const auto answer = this->ask_stream();
    CHECK(answer.status == 502);
    CHECK(engine.endless_bytes <= most_bytes_taken);
}

TEST_CASE_METHOD(
    relay_fixture, "bytes without end in the answer of a service are cut off")
{
    const std::string head =
        GENERATE(std::string{"HTTP/1.1 200 OK\r\n"}, stream_head);
    const std::string more =
        head == stream_head ? chunk_of(std::string(65536, 'x')) : "X-A: b\r\n";
    auto& desk = this->add_desk("d1", always(endless(head, more)));
    const auto answers = this->ask({get("/once/", caller_limit)});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 502);
    CHECK(desk.received.size() == 1);
    CHECK(desk.endless_bytes <= most_bytes_taken);
}

// Guards against a machine that runs out of memory, as a server sends without
// end to many requests at once.
TEST_CASE_METHOD(
    relay_fixture, "endless answers to many requests are bounded together")
{
    this->node.memory = byte_count{20ULL * 1024 * 1024};
    auto& faulty = this->add_desk(
        "d1",
        [](numbered, const http_request& request)
        {
            const auto target = request.target();
            const bool is_sound = target.find("sound") != target.npos;
            return is_sound
                       ? whole_answer(200, std::string(4'000, 'y'))
                       : endless(
                             stream_head, chunk_of(std::string(65'536, 'x')));
        });
    std::vector<std::string> requests;
    for (int i = 0; i < 32; ++i)
    {
        requests.push_back(this->get(
            i % 4 == 0 ? "/once/sound" : "/once/endless",
            "X-Fireflysail-Deadline-Ms: 4000\r\n"));
    }
    const auto answers = this->ask_together(requests);
    REQUIRE(answers.size() == requests.size());
    const auto count = [&answers](unsigned status)
    {
        return std::ranges::count(answers, status, &received_answer::status);
    };
    CHECK(count(200) == 8);
    CHECK(count(502) == 24);
    // Alone, each may take twice as much as all of them together.
    CHECK(faulty.endless_bytes <= 24 * std::size_t{6} * 1024 * 1024);
}
