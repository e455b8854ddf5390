#pragma once

#include "common/clock.hpp"
#include "relay/io.hpp"
#include "routing/pipeline_stall_detector.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>

namespace fireflysail
{

/// Ends the runs of streams whose pipeline fell silent. Looks at all of them
/// at a steady pace while there are any.
class stall_monitor
{
public:
    stall_monitor(const asio::any_io_executor& executor, const clock& time);

    stall_monitor(const stall_monitor&) = delete;
    stall_monitor& operator=(const stall_monitor&) = delete;

    /// One run, for as long as this object lives.
    class run
    {
    public:
        /// `on_silent` is called until it returns true.
        run(stall_monitor& monitor,
            std::uint64_t pipeline,
            const std::vector<server_id>& stages,
            const std::function<bool()>& on_silent);
        ~run();

        run(const run&) = delete;
        run& operator=(const run&) = delete;

        void on_event();

    private:
        stall_monitor& monitor;
        const run_id id;
    };

    /// See pipeline_stall_detector::suspect().
    void doubt(const server_id& engine);

private:
    void schedule();
    void look();

    const clock& time;
    asio::steady_timer timer;
    bool scheduled = false;
    pipeline_stall_detector watch;
    absl::flat_hash_map<run_id, std::function<bool()>> handlers;
};

} // namespace fireflysail
