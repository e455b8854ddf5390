#include "relay/stall_monitor.hpp"

#include <utility>

namespace fireflysail
{

namespace
{

/// Adds to the time in which a silent pipeline is found.
constexpr std::chrono::milliseconds look_interval{25};

} // namespace

stall_monitor::stall_monitor(
    const asio::any_io_executor& executor, const clock& time)
    : time{time}
    , timer{executor}
    , watch{pipeline_stall_detector::options{}}
{
}

stall_monitor::run::run(
    stall_monitor& monitor,
    std::uint64_t pipeline,
    const std::vector<server_id>& stages,
    const std::function<bool()>& on_silent)
    : monitor{monitor}
    , id{monitor.watch.begin(pipeline, stages, monitor.time.now())}
{
    monitor.handlers.emplace(this->id, on_silent);
    monitor.schedule();
}

stall_monitor::run::~run()
{
    this->monitor.watch.end(this->id);
    this->monitor.handlers.erase(this->id);
}

void stall_monitor::run::on_event()
{
    this->monitor.watch.on_event(this->id, this->monitor.time.now());
}

void stall_monitor::doubt(const server_id& engine)
{
    this->watch.suspect(engine, this->time.now());
}

void stall_monitor::schedule()
{
    if (this->scheduled)
    {
        return;
    }
    this->scheduled = true;
    this->timer.expires_after(look_interval);
    this->timer.async_wait(
        [this](io_error error)
        {
            this->scheduled = false;
            if (!error)
            {
                this->look();
            }
        });
}

void stall_monitor::look()
{
    for (const run_id id : this->watch.stalled_runs(this->time.now()))
    {
        const auto found = this->handlers.find(id);
        if (found != this->handlers.end())
        {
            const auto on_silent = std::move(found->second);
            this->handlers.erase(found);
            if (!on_silent())
            {
                this->handlers.emplace(id, on_silent);
            }
        }
    }
    if (!this->watch.empty())
    {
        this->schedule();
    }
}

} // namespace fireflysail
