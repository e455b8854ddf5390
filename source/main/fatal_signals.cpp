#include "main/fatal_signals.hpp"

#include <absl/debugging/failure_signal_handler.h>
#include <absl/debugging/stacktrace.h>
#include <absl/debugging/symbolize.h>

#include <ucontext.h>
#include <unwind.h>

#include <csignal>
#include <cstdint>

namespace fireflysail
{

namespace
{

// A stack that overflowed has hundreds of thousands of frames; the report only
// states that at least so many are left out.
constexpr int most_dropped = 200;

struct walk
{
    void** frames;
    int* sizes;
    int room;
    /// Frames that are left out before the first that counts.
    int skipped;
    /// Where the signal interrupted the thread; frames up to it belong to the
    /// handler. Zero outside a handler.
    std::uintptr_t interrupted;
    int count = 0;
    int dropped = 0;
};

std::uintptr_t interrupted_at([[maybe_unused]] const void* context)
{
#ifdef __x86_64__
    if (context != nullptr)
    {
        return static_cast<std::uintptr_t>(
            static_cast<const ucontext_t*>(context)
                ->uc_mcontext.gregs[REG_RIP]);
    }
#endif
    return 0;
}

_Unwind_Reason_Code take_frame(_Unwind_Context* frame, void* target)
{
    auto& taken = *static_cast<walk*>(target);
    const auto address = _Unwind_GetIP(frame);
    if (taken.interrupted != 0)
    {
        if (address == taken.interrupted)
        {
            taken.interrupted = 0;
        }
        return _URC_NO_REASON;
    }
    if (taken.skipped > 0)
    {
        --taken.skipped;
        return _URC_NO_REASON;
    }
    if (taken.count == taken.room)
    {
        ++taken.dropped;
        return taken.dropped < most_dropped ? _URC_NO_REASON
                                            : _URC_END_OF_STACK;
    }
    taken.frames[taken.count] =
        reinterpret_cast<void*>(address); // NOLINT(performance-no-int-to-ptr)
    if (taken.sizes != nullptr)
    {
        taken.sizes[taken.count] = 0;
    }
    ++taken.count;
    return _URC_NO_REASON;
}

// Abseil's own unwinder follows frame pointers, which neither the C library nor
// optimized code keeps: it loses the stack at the first frame of the C library.
// The unwind tables that exceptions use are always there.
int unwind_by_tables(
    void** frames,
    int* sizes,
    int room,
    int skipped,
    const void* context,
    int* dropped)
{
    if (context != nullptr)
    {
        // Abseil's handler starts again at a fault within it, with its time
        // limit renewed, and so would never end on a stack that is broken.
        std::signal(SIGSEGV, SIG_DFL);
        std::signal(SIGBUS, SIG_DFL);
    }
    const auto interrupted = interrupted_at(context);
    walk taken{
        frames, sizes, room, interrupted == 0 ? skipped + 1 : 0, interrupted};
    _Unwind_Backtrace(take_frame, &taken);
    if (dropped != nullptr)
    {
        *dropped = taken.dropped;
    }
    return taken.count;
}

} // namespace

void report_fatal_signals(const char* program)
{
    absl::InitializeSymbolizer(program);
    absl::SetStackUnwinder(unwind_by_tables);
    // Abseil counts SIGTERM among the fatal signals; here it is the order to
    // stop, and no crash.
    struct sigaction on_stop = {};
    sigaction(SIGTERM, nullptr, &on_stop);
    absl::InstallFailureSignalHandler({});
    sigaction(SIGTERM, &on_stop, nullptr);
}

} // namespace fireflysail
