#include "common/guarded.hpp"

#include "common/log.hpp"

#include <atomic>

namespace fireflysail
{

namespace
{

std::atomic<std::uint64_t> failed{0};

void log_failure(std::string_view task, std::string_view reason)
{
    log::event(
        log::level::error,
        log::channel::main,
        "step_failed",
        {{"task", task}, {"reason", reason}});
}

} // namespace

void note_failed_step(
    std::string_view task, const std::exception_ptr& failure) noexcept
{
    failed.fetch_add(1, std::memory_order_relaxed);
    try
    {
        try
        {
            std::rethrow_exception(failure);
        }
        catch (const std::exception& known)
        {
            log_failure(task, known.what());
        }
        catch (...)
        {
            log_failure(task, "unknown");
        }
    }
    catch (...)
    {
        // Without memory for a line; the count tells of it.
        return;
    }
}

std::uint64_t failed_steps()
{
    return failed.load(std::memory_order_relaxed);
}

} // namespace fireflysail
