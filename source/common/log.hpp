#pragma once

#include <fmt/format.h>

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace fireflysail::log
{

enum class level
{
    debug,
    info,
    warning,
    error,
};

enum class format
{
    text,
    json,
};

/// One per subsystem.
enum class channel
{
    main,
    settings,
    routing,
    ledger,
    limits,
    membership,
    control,
    store,
    backend,
    peer,
    api,
    stand_in,
};

/// Sets the lowest level written and the format; called once at start.
void configure(level lowest, format shape);

/// From here on lines go to standard output through a bounded queue and a
/// thread of its own. Never blocks: lines that find no room are dropped, and
/// so are those above the rate; their number is told by dropped_lines().
void start_background_output();

/// Waits a bounded time until what is queued is written. Threads may go on
/// logging.
void finish_background_output();

/// Lines that were not written since the start.
std::uint64_t dropped_lines();

bool enabled(level at);

/// Writes one line.
void write(level at, channel from, std::string_view message);

/// Value of one field of a structured line.
class value
{
public:
    template <std::convertible_to<std::string_view> Text>
    value(const Text& text)
        : content{std::string_view{text}}
    {
    }

    template <std::unsigned_integral Number>
    value(Number number)
        : content{static_cast<std::uint64_t>(number)}
    {
    }

    template <std::signed_integral Number>
    value(Number number)
        : content{static_cast<std::int64_t>(number)}
    {
    }

    value(double number)
        : content{number}
    {
    }

    value(bool flag)
        : content{flag}
    {
    }

    std::variant<std::string_view, std::uint64_t, std::int64_t, double, bool>
        content;
};

struct field
{
    std::string_view name;
    value content;
};

/// Writes one line that names what happened, with the fields that decided it.
void event(
    level at,
    channel from,
    std::string_view name,
    std::initializer_list<field> fields);

/// Names in the log why the process is about to end, past the rate and the
/// queue. Waits a bounded time for standard output to take the line.
void last_event(
    channel from,
    std::string_view name,
    std::initializer_list<field> fields) noexcept;

/// Has an exception that nothing catches leave a line in the log before the
/// process ends.
void report_uncaught_exceptions();

template <class... Args>
void print(
    level at, channel from, fmt::format_string<Args...> text, Args&&... args)
{
    if (enabled(at))
    {
        write(at, from, fmt::format(text, std::forward<Args>(args)...));
    }
}

template <class... Args>
void debug(channel from, fmt::format_string<Args...> text, Args&&... args)
{
    print(level::debug, from, text, std::forward<Args>(args)...);
}

template <class... Args>
void info(channel from, fmt::format_string<Args...> text, Args&&... args)
{
    print(level::info, from, text, std::forward<Args>(args)...);
}

template <class... Args>
void warning(channel from, fmt::format_string<Args...> text, Args&&... args)
{
    print(level::warning, from, text, std::forward<Args>(args)...);
}

template <class... Args>
void error(channel from, fmt::format_string<Args...> text, Args&&... args)
{
    print(level::error, from, text, std::forward<Args>(args)...);
}

} // namespace fireflysail::log
