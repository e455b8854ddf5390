#include "common/log.hpp"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string>
#include <thread>

using namespace fireflysail;

namespace
{

/// Standard output goes into a pipe that nobody reads until the end.
class unread_output
{
public:
    unread_output()
        : original{dup(STDOUT_FILENO)}
    {
        REQUIRE(pipe(this->ends.data()) == 0);
        std::fflush(stdout);
        REQUIRE(dup2(this->ends[1], STDOUT_FILENO) == STDOUT_FILENO);
    }

    /// What was written; standard output is as before.
    std::string restore()
    {
        std::string text;
        std::jthread reader{
            [this, &text]
            {
                std::array<char, 4096> part{};
                ssize_t count = 0;
                while ((count = read(this->ends[0], part.data(), part.size())) >
                       0)
                {
                    text.append(part.data(), static_cast<std::size_t>(count));
                }
            }};
        log::finish_background_output();
        dup2(this->original, STDOUT_FILENO);
        close(this->ends[1]);
        reader.join();
        close(this->ends[0]);
        close(this->original);
        return text;
    }

private:
    int original;
    std::array<int, 2> ends{};
};

} // namespace

TEST_CASE("a reader that stopped reading blocks no one who logs")
{
    constexpr int many = 5000;
    unread_output output;
    log::configure(log::level::info, log::format::json);
    log::start_background_output();
    for (int i = 0; i < many; ++i)
    {
        log::event(
            i % 2 == 0 ? log::level::info : log::level::warning,
            log::channel::main,
            "line",
            {{"filler", std::string(400, 'x')}, {"number", i}});
    }
    // Ends though nobody reads, and logging goes on after it.
    log::finish_background_output();
    log::event(log::level::error, log::channel::main, "after_the_end", {});
    const std::uint64_t dropped = log::dropped_lines();
    const std::string text = output.restore();
    CHECK(dropped > 0);
    CHECK(text.find("\"event\":\"line\"") != std::string::npos);
    const auto written =
        static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n'));
    CHECK(written + dropped <= many + 1);
}
