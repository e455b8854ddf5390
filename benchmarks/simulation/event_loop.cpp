#include "simulation/event_loop.hpp"

#include <tuple>
#include <utility>

namespace fireflysail::simulation
{

bool event_loop::later::operator()(const event& a, const event& b) const
{
    return std::tie(a.when, a.order) > std::tie(b.when, b.order);
}

const clock& event_loop::time() const
{
    return this->virtual_clock;
}

time_point event_loop::now() const
{
    return this->virtual_clock.now();
}

void event_loop::at(time_point when, callback action)
{
    this->events.push({when, this->next_order++, std::move(action)});
}

void event_loop::after(duration delay, callback action)
{
    this->at(this->now() + delay, std::move(action));
}

void event_loop::run_until(time_point end)
{
    while (!this->events.empty() && this->events.top().when <= end)
    {
        const event next = this->events.top();
        this->events.pop();
        this->virtual_clock.advance_to(next.when);
        next.action();
    }
    this->virtual_clock.advance_to(end);
}

} // namespace fireflysail::simulation
