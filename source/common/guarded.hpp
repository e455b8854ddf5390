#pragma once

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

namespace fireflysail
{

/// Notes in the log, and counts, that a step of a task ended with an exception.
void note_failed_step(
    std::string_view task, const std::exception_ptr& failure) noexcept;

/// Steps that ended with an exception since the start.
std::uint64_t failed_steps();

/// Runs one step of a task that goes on whatever becomes of the step. False if
/// it ended with an exception.
template <class Step>
bool run_guarded(std::string_view task, Step&& step)
{
    try
    {
        std::forward<Step>(step)();
        return true;
    }
    catch (...)
    {
        note_failed_step(task, std::current_exception());
        return false;
    }
}

} // namespace fireflysail
