#include "common/log.hpp"

#include "common/token_bucket.hpp"

#include <fmt/chrono.h>

#include <spdlog/async_logger.h>
#include <spdlog/details/thread_pool.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <cxxabi.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <iterator>
#include <memory>
#include <mutex>
#include <thread>
#include <typeinfo>

namespace fireflysail::log
{

namespace
{

std::atomic<level> lowest_level{level::info};
std::atomic<format> line_format{format::text};

constexpr std::array<std::string_view, 4> level_names{
    "debug", "info", "warning", "error"};

constexpr std::array<std::string_view, 12> channel_names{
    "main",
    "settings",
    "routing",
    "ledger",
    "limits",
    "membership",
    "control",
    "store",
    "backend",
    "peer",
    "api",
    "stand_in"};

std::string escape_json(std::string_view text)
{
    std::string escaped;
    escaped.reserve(text.size());
    for (const char c : text)
    {
        if (c == '"' || c == '\\')
        {
            escaped += '\\';
            escaped += c;
        }
        else if (static_cast<unsigned char>(c) < 0x20)
        {
            escaped += fmt::format("\\u{:04x}", static_cast<unsigned char>(c));
        }
        else
        {
            escaped += c;
        }
    }
    return escaped;
}

/// A line break in a message would let a caller forge a log line.
std::string escape_text(std::string_view text)
{
    std::string escaped{text};
    for (char& c : escaped)
    {
        if (static_cast<unsigned char>(c) < 0x20)
        {
            c = ' ';
        }
    }
    return escaped;
}

/// Lines that the queue of the background writer holds.
constexpr std::size_t queue_lines = 1024;

/// Structured lines a second, above which they are dropped; those at warning
/// and above have as many again. Bounds what logging costs under load.
constexpr double lines_per_second = 300;

std::atomic<std::uint64_t> dropped{0};

/// One second's worth of lines at once, from the start.
class line_rate
{
public:
    line_rate()
    {
        const time_point now = std::chrono::steady_clock::now();
        this->lines.configure(lines_per_second, lines_per_second, now);
        this->lines.give_back(lines_per_second, now);
    }

    bool take()
    {
        const std::lock_guard lock{this->mutex};
        const time_point now = std::chrono::steady_clock::now();
        if (this->lines.level(now) < 1)
        {
            return false;
        }
        this->lines.take(1, now);
        return true;
    }

private:
    std::mutex mutex;
    token_bucket lines;
};

bool may_write(level at)
{
    static std::array<line_rate, 2> rates;
    const bool written = rates.at(at >= level::warning ? 1 : 0).take();
    if (!written)
    {
        dropped.fetch_add(1, std::memory_order_relaxed);
    }
    return written;
}

/// The end of a process waits no longer than this for its last lines.
constexpr std::chrono::milliseconds longest_drain{200};
constexpr std::chrono::milliseconds drain_poll{2};

/// Hands lines to a thread that writes them to standard output.
class background_writer
{
public:
    background_writer()
        : pool{std::make_shared<spdlog::details::thread_pool>(queue_lines, 1)}
        , logger{std::make_shared<spdlog::async_logger>(
              "stdout",
              std::make_shared<spdlog::sinks::stdout_sink_mt>(),
              this->pool,
              spdlog::async_overflow_policy::overrun_oldest)}
    {
        auto plain = std::make_unique<spdlog::pattern_formatter>(
            "%v", spdlog::pattern_time_type::utc, "");
        this->logger->set_formatter(std::move(plain));
        this->logger->set_level(spdlog::level::trace);
        this->logger->flush_on(spdlog::level::trace);
    }

    void write(const std::string& line)
    {
        this->logger->log(spdlog::level::info, spdlog::string_view_t{line});
    }

    std::uint64_t overrun() const
    {
        return this->pool->overrun_counter();
    }

    /// Waits until what was queued is written, for a bounded time, as standard
    /// output may have no reader.
    void drain() const
    {
        // The last in the queue, so that every line before it is written once
        // it was taken.
        this->logger->flush();
        const auto end = std::chrono::steady_clock::now() + longest_drain;
        while (this->pool->queue_size() > 0 &&
               std::chrono::steady_clock::now() < end)
        {
            std::this_thread::sleep_for(drain_poll);
        }
    }

private:
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<spdlog::async_logger> logger;
};

/// Never destroyed, as threads may log until the process is gone.
std::atomic<background_writer*> background{nullptr};

void emit(std::string line)
{
    if (background_writer* const writer = background.load())
    {
        writer->write(line);
        return;
    }
    // One call, so that lines of several threads do not mix.
    std::fwrite(line.data(), 1, line.size(), stderr);
}

std::string start_of_line(level at, channel from, bool as_json)
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    const auto seconds = std::chrono::system_clock::to_time_t(now);
    const auto level_name = level_names.at(static_cast<std::size_t>(at));
    const auto channel_name = channel_names.at(static_cast<std::size_t>(from));
    return as_json ? fmt::format(
                         "{{\"time\":\"{:%FT%T}.{:03}Z\",\"level\":\"{}\","
                         "\"channel\":\"{}\"",
                         fmt::gmtime(seconds),
                         millis,
                         level_name,
                         channel_name)
                   : fmt::format(
                         "{:%FT%T}.{:03}Z {} [{}]",
                         fmt::gmtime(seconds),
                         millis,
                         level_name,
                         channel_name);
}

struct value_writer
{
    std::string& line;
    bool as_json;

    void operator()(std::string_view text) const
    {
        this->line +=
            this->as_json ? "\"" + escape_json(text) + "\"" : escape_text(text);
    }

    void operator()(double number) const
    {
        fmt::format_to(std::back_inserter(this->line), "{:.2f}", number);
    }

    template <class Other>
    void operator()(Other other) const
    {
        fmt::format_to(std::back_inserter(this->line), "{}", other);
    }
};

std::string event_line(
    level at,
    channel from,
    std::string_view name,
    std::initializer_list<field> fields)
{
    const bool as_json =
        line_format.load(std::memory_order_relaxed) == format::json;
    std::string line = start_of_line(at, from, as_json);
    line += as_json ? fmt::format(",\"event\":\"{}\"", name)
                    : fmt::format(" {}", name);
    for (const field& entry : fields)
    {
        line += as_json ? fmt::format(",\"{}\":", entry.name)
                        : fmt::format(" {}=", entry.name);
        std::visit(value_writer{line, as_json}, entry.content.content);
    }
    line += as_json ? "}\n" : "\n";
    return line;
}

/// Writes where the log goes, if that takes the text within a bounded time.
void write_directly(std::string_view text)
{
    const int output =
        background.load() == nullptr ? STDERR_FILENO : STDOUT_FILENO;
    pollfd waited{output, POLLOUT, 0};
    if (::poll(&waited, 1, static_cast<int>(longest_drain.count())) > 0)
    {
        // Fails when nobody reads any more; then there is nobody to tell.
        [[maybe_unused]] const auto written =
            ::write(output, text.data(), text.size());
    }
}

/// Name of a type as it stands in the source.
std::string type_name(const std::type_info& type)
{
    int status = 0;
    const std::unique_ptr<char, decltype(&std::free)> readable{
        abi::__cxa_demangle(type.name(), nullptr, nullptr, &status),
        &std::free};
    return readable ? readable.get() : type.name();
}

[[noreturn]] void on_terminate()
{
    try
    {
        if (const auto uncaught = std::current_exception())
        {
            std::rethrow_exception(uncaught);
        }
        last_event(channel::main, "terminated", {});
    }
    catch (const std::exception& uncaught)
    {
        last_event(
            channel::main,
            "uncaught_exception",
            {{"type", type_name(typeid(uncaught))},
             {"reason", std::string_view{uncaught.what()}}});
    }
    catch (...)
    {
        last_event(
            channel::main,
            "uncaught_exception",
            {{"type", "unknown"}, {"reason", ""}});
    }
    std::abort();
}

} // namespace

void configure(level lowest, format shape)
{
    lowest_level.store(lowest, std::memory_order_relaxed);
    line_format.store(shape, std::memory_order_relaxed);
}

bool enabled(level at)
{
    return at >= lowest_level.load(std::memory_order_relaxed);
}

void write(level at, channel from, std::string_view message)
{
    if (!enabled(at))
    {
        return;
    }
    const bool as_json =
        line_format.load(std::memory_order_relaxed) == format::json;
    const std::string rest =
        as_json ? fmt::format(",\"message\":\"{}\"}}\n", escape_json(message))
                : fmt::format(" {}\n", escape_text(message));
    emit(start_of_line(at, from, as_json) + rest);
}

void event(
    level at,
    channel from,
    std::string_view name,
    std::initializer_list<field> fields)
{
    if (!enabled(at) || !may_write(at))
    {
        return;
    }
    emit(event_line(at, from, name, fields));
}

void last_event(
    channel from,
    std::string_view name,
    std::initializer_list<field> fields) noexcept
{
    try
    {
        finish_background_output();
        write_directly(event_line(level::error, from, name, fields));
    }
    catch (...)
    {
        // Without memory for more.
        write_directly(name);
        write_directly("\n");
    }
}

void report_uncaught_exceptions()
{
    std::set_terminate(on_terminate);
}

void start_background_output()
{
    background.store(std::make_unique<background_writer>().release());
}

void finish_background_output()
{
    if (const background_writer* const writer = background.load())
    {
        writer->drain();
    }
}

std::uint64_t dropped_lines()
{
    const background_writer* const writer = background.load();
    const std::uint64_t overrun = writer != nullptr ? writer->overrun() : 0;
    return dropped.load(std::memory_order_relaxed) + overrun;
}

} // namespace fireflysail::log
