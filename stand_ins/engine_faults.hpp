#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace fireflysail
{

/// Faults that a test switches on in one stand-in engine.
class engine_faults
{
public:
    /// Sets the faults named in a JSON object and leaves the others:
    /// "silent" (streams stop sending and stay open), "delay_ms" (added to
    /// each token), "crossed" (each token is followed by one of another
    /// request, and by a late copy), "refuse" (503, nothing ran),
    /// "silent_after", "exit_after" (tokens to send before the fault; 0 is
    /// off), "crash_text" (a prompt that holds it ends the process). False if
    /// it is no JSON object.
    bool set(std::string_view json);

    bool crashes_on(std::string_view prompt) const;

    std::atomic<bool> silent{false};
    std::atomic<bool> crossed{false};
    std::atomic<bool> refuse{false};
    std::atomic<std::uint32_t> delay_ms{0};
    std::atomic<std::uint32_t> silent_after{0};
    std::atomic<std::uint32_t> exit_after{0};

private:
    mutable std::mutex mutex;
    std::string crash_text;
};

} // namespace fireflysail
