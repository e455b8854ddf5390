#pragma once

#include <source_location>
#include <string_view>

namespace fireflysail
{

/// Ends the process with a message that names the invariant.
[[noreturn]] void
fail_invariant(std::string_view name, const std::source_location& where);

/// Checks an invariant of the program; in force in every build type. Input
/// from outside is never checked with this: a bad message is an error value.
inline void ensure(
    bool holds,
    std::string_view name,
    const std::source_location& where = std::source_location::current())
{
    if (!holds) [[unlikely]]
    {
        fail_invariant(name, where);
    }
}

} // namespace fireflysail
