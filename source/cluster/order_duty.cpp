#include "cluster/order_duty.hpp"

#include "common/hash.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

const duty_id duty{"orders"};

// Enough to outlive two losses, and few enough that those who wait for the
// lease do not burden the store.
constexpr std::size_t candidates = 3;

} // namespace

order_duty::order_duty(const instance_id& self, const parts& used)
    : self{self}
    , used{used}
    , sink{used.time, used.engines, used.fleet}
    , lease{duty, leader_lease{self, self.str()}, used.objects, used.time}
    , orders{lease, used.objects, sink, used.fleet, used.time}
{
}

bool order_duty::is_candidate() const
{
    const auto live = this->used.gossip.view_for_limits().live;
    const auto weight = [](const instance_id& id)
    {
        return rendezvous_weight(duty.str(), id.str());
    };
    const auto own = weight(this->self);
    const auto ahead = std::ranges::count_if(
        live,
        [&](const instance_id& id)
        {
            return weight(id) > own;
        });
    return static_cast<std::size_t>(ahead) < candidates;
}

void order_duty::tick()
{
    const auto now = this->used.time.now();
    if (now >= this->next_step)
    {
        this->lease.set_candidate(this->is_candidate());
        this->next_step = this->lease.step();
    }
    this->orders.step(reported_demand(*this->used.fleet.load()));
}

void order_duty::release()
{
    this->lease.release();
    this->lease.step();
}

bool order_duty::leads() const
{
    return this->lease.held().has_value();
}

} // namespace fireflysail
