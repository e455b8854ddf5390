#pragma once

#include "common/clock.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace fireflysail::simulation
{

/// Runs callbacks in order of virtual time; equal times run in the order in
/// which they were scheduled, so a run depends on nothing but its seed.
class event_loop
{
public:
    using callback = std::function<void()>;

    const clock& time() const;

    time_point now() const;

    void at(time_point when, callback action);

    void after(duration delay, callback action);

    /// Runs everything up to and including `end`, then stands at `end`.
    void run_until(time_point end);

private:
    struct event
    {
        time_point when;
        std::uint64_t order = 0;
        callback action;
    };

    struct later
    {
        bool operator()(const event& a, const event& b) const;
    };

    manual_clock virtual_clock;
    std::uint64_t next_order = 0;
    std::priority_queue<event, std::vector<event>, later> events;
};

} // namespace fireflysail::simulation
