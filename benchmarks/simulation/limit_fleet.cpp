#include "simulation/limit_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <utility>
#include <variant>

namespace fireflysail::simulation
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds{20};
constexpr std::size_t queue_bound = 200;

std::shared_ptr<const lists_snapshot>
make_lists(const std::vector<entitlement_entry>& plans)
{
    auto lists = std::make_shared<lists_snapshot>();
    for (std::size_t i = 0; i < plans.size(); ++i)
    {
        const plan_id plan{fmt::format("plan-{}", i)};
        const workspace_id workspace = limit_fleet::workspace(i);
        lists->plans[workspace] = {workspace, plan, {}, {}};
        lists->entitlements[plan] = plans[i];
    }
    return lists;
}

} // namespace

limit_fleet::limit_fleet(limit_fleet_config chosen)
    : config{std::move(chosen)}
    , random{this->config.seed}
    , broken{[](std::size_t, std::size_t)
             {
                 return false;
             }}
    , request_usage(this->config.plans.size())
    , token_usage(this->config.plans.size())
    , running(this->config.plans.size())
    , peak(this->config.plans.size())
{
    const auto lists = make_lists(this->config.plans);
    for (std::size_t i = 0; i < this->config.instances; ++i)
    {
        this->indices[id(i)] = i;
        this->instances.push_back(std::make_unique<instance>(id(i)));
        this->instances[i]->owner.update_lists(lists, this->now());
    }
    const std::vector<std::size_t> everyone =
        all_but(this->config.instances, {});
    for (std::size_t i = 0; i < this->config.instances; ++i)
    {
        this->set_view(i, everyone, everyone.size());
        this->start(i);
    }
}

instance_id limit_fleet::id(std::size_t index)
{
    return instance_id{fmt::format("instance-{}", index)};
}

workspace_id limit_fleet::workspace(std::size_t index)
{
    return workspace_id{fmt::format("workspace-{}", index)};
}

event_loop& limit_fleet::events()
{
    return this->loop;
}

time_point limit_fleet::now() const
{
    return this->loop.now();
}

void limit_fleet::run_for(duration time)
{
    this->loop.run_until(this->now() + time);
}

void limit_fleet::set_demand(
    std::size_t index, std::size_t workspace, double per_second)
{
    waiting_queue& queue = this->instances[index]->queues[workspace];
    queue.per_second = per_second;
    ++queue.generation;
    if (per_second <= 0)
    {
        queue.waiting = 0;
        return;
    }
    this->arrive(index, workspace, queue.generation);
}

void limit_fleet::kill(std::size_t index)
{
    this->instances[index]->up = false;
    for (std::size_t k = 0; k < this->running.size(); ++k)
    {
        this->running[k] -=
            this->instances[index]->client.running(workspace(k));
    }
}

void limit_fleet::restart(
    std::size_t index,
    const std::vector<std::size_t>& live,
    std::size_t fleet_size)
{
    this->instances[index] = std::make_unique<instance>(id(index));
    this->instances[index]->owner.update_lists(
        make_lists(this->config.plans), this->now());
    this->set_view(index, live, fleet_size);
    this->start(index);
}

void limit_fleet::pause(std::size_t index)
{
    this->instances[index]->paused = true;
}

void limit_fleet::wake(std::size_t index)
{
    instance& one = *this->instances[index];
    one.paused = false;
    const auto delayed = std::exchange(one.delayed, {});
    for (const auto& action : delayed)
    {
        action();
    }
    this->tick(index);
}

std::size_t limit_fleet::owner(std::size_t viewer, std::size_t which) const
{
    return this->indices.at(
        owner_of(workspace(which), this->instances[viewer]->view.live));
}

void limit_fleet::set_view(
    std::size_t index,
    const std::vector<std::size_t>& live,
    std::size_t fleet_size)
{
    instance& one = *this->instances[index];
    one.view.self = id(index);
    one.view.live.clear();
    std::ranges::transform(live, std::back_inserter(one.view.live), &id);
    one.view.fleet_size = static_cast<std::uint32_t>(fleet_size);
    one.client.update_view(one.view);
    one.owner.update_view(one.view, this->now());
}

void limit_fleet::spread_view(
    const std::vector<std::size_t>& live,
    std::size_t fleet_size,
    duration spread)
{
    for (const std::size_t index : live)
    {
        std::uniform_int_distribution<duration::rep> delay{0, spread.count()};
        this->loop.after(
            duration{delay(this->random)},
            [this, index, live, fleet_size]
            {
                if (this->instances[index]->up)
                {
                    this->set_view(index, live, fleet_size);
                }
            });
    }
}

void limit_fleet::set_broken(
    std::function<bool(std::size_t, std::size_t)> link_broken)
{
    this->broken = std::move(link_broken);
}

void limit_fleet::set_loss(double loss)
{
    this->config.loss = loss;
}

const usage_record& limit_fleet::requests(std::size_t which) const
{
    return this->request_usage[which];
}

const usage_record& limit_fleet::tokens(std::size_t which) const
{
    return this->token_usage[which];
}

std::uint32_t limit_fleet::most_running(std::size_t which) const
{
    return this->peak[which];
}

void limit_fleet::reset_most_running()
{
    this->peak = this->running;
}

const limit_message_counts& limit_fleet::messages() const
{
    return this->counts;
}

void limit_fleet::measure_by(limit_message_sizes chosen)
{
    this->sizes = std::move(chosen);
}

limit_owner& limit_fleet::owner_of_instance(std::size_t index)
{
    return this->instances[index]->owner;
}

void limit_fleet::start(std::size_t index)
{
    std::uniform_int_distribution<duration::rep> phase{
        0, tick_interval.count()};
    this->loop.after(
        duration{phase(this->random)},
        [this, index]
        {
            this->tick(index);
        });
}

void limit_fleet::tick(std::size_t index)
{
    instance& one = *this->instances[index];
    if (!one.up || one.paused)
    {
        return;
    }
    for (const outgoing_demand& demand : one.client.tick(this->now()))
    {
        this->send_demand(index, demand);
    }
    for (const outgoing_claim& claim : one.owner.tick(this->now()))
    {
        this->send_claim(index, claim);
    }
    this->loop.after(
        tick_interval,
        [this, index]
        {
            this->tick(index);
        });
}

void limit_fleet::arrive(
    std::size_t index, std::size_t which, std::uint64_t generation)
{
    instance& one = *this->instances[index];
    waiting_queue& queue = one.queues[which];
    if (!one.up || queue.generation != generation)
    {
        return;
    }
    duration retry{};
    if (!one.paused && !this->attempt(index, which, attempt_kind::first, retry))
    {
        queue.waiting = std::min(queue.waiting + 1, queue_bound);
        if (!queue.polling)
        {
            queue.polling = true;
            this->loop.after(
                retry,
                [this, index, which]
                {
                    this->poll(index, which);
                });
        }
    }
    std::exponential_distribution<double> gap{queue.per_second};
    this->loop.after(
        from_seconds(gap(this->random)),
        [this, index, which, generation]
        {
            this->arrive(index, which, generation);
        });
}

void limit_fleet::poll(std::size_t index, std::size_t which)
{
    instance& one = *this->instances[index];
    waiting_queue& queue = one.queues[which];
    queue.polling = false;
    if (!one.up)
    {
        return;
    }
    const duration retry = this->admit_waiting(index, which);
    if (queue.waiting > 0)
    {
        queue.polling = true;
        this->loop.after(
            retry,
            [this, index, which]
            {
                this->poll(index, which);
            });
    }
}

duration limit_fleet::admit_waiting(std::size_t index, std::size_t which)
{
    instance& one = *this->instances[index];
    waiting_queue& queue = one.queues[which];
    duration retry = tick_interval;
    while (!one.paused && queue.waiting > 0 &&
           this->attempt(index, which, attempt_kind::repeated, retry))
    {
        --queue.waiting;
    }
    return retry;
}

bool limit_fleet::attempt(
    std::size_t index,
    std::size_t which,
    attempt_kind kind,
    duration& retry_after)
{
    instance& one = *this->instances[index];
    const limit_outcome outcome = one.client.try_acquire(
        workspace(which),
        token_count{this->config.request_tokens},
        this->now(),
        kind);
    if (const auto* refused = std::get_if<limit_refused>(&outcome))
    {
        retry_after = refused->retry_after;
        return false;
    }
    this->request_usage[which].add(this->now(), 1);
    this->token_usage[which].add(
        this->now(), static_cast<double>(this->config.request_tokens));
    ++this->running[which];
    this->peak[which] = std::max(this->peak[which], this->running[which]);
    this->loop.after(
        this->config.request_time,
        [this, index, which]
        {
            if (this->instances[index]->up)
            {
                --this->running[which];
                this->instances[index]->client.finish(
                    workspace(which), this->now());
                this->admit_waiting(index, which);
            }
        });
    return true;
}

void limit_fleet::send_demand(std::size_t from, const outgoing_demand& demand)
{
    const std::size_t to = this->indices.at(demand.to);
    if (to != from)
    {
        ++this->counts.exchanges;
    }
    const bool is_measured = to != from && this->sizes;
    this->counts.bytes += is_measured ? this->sizes->demand(demand.message) : 0;
    this->deliver(
        from,
        to,
        [this, from, to, is_measured, message = demand.message]
        {
            const lease_message reply =
                this->instances[to]->owner.answer(message, this->now());
            this->counts.bytes += is_measured ? this->sizes->leases(reply) : 0;
            this->deliver(
                to,
                from,
                [this, from, reply]
                {
                    this->instances[from]->client.receive(reply, this->now());
                });
        });
}

void limit_fleet::send_claim(std::size_t from, const outgoing_claim& claim)
{
    const std::size_t to = this->indices.at(claim.to);
    ++this->counts.exchanges;
    this->counts.bytes += this->sizes ? this->sizes->claim(claim.message) : 0;
    this->deliver(
        from,
        to,
        [this, from, to, message = claim.message]
        {
            const claim_reply reply =
                this->instances[to]->owner.answer(message, this->now());
            this->counts.bytes +=
                this->sizes ? this->sizes->claim_reply(reply) : 0;
            this->deliver(
                to,
                from,
                [this, from, to, reply]
                {
                    this->instances[from]->owner.receive(
                        id(to), reply, this->now());
                });
        });
}

void limit_fleet::deliver(
    std::size_t from, std::size_t to, std::function<void()> action)
{
    if (from == to)
    {
        this->run_on(to, std::move(action));
        return;
    }
    std::bernoulli_distribution lost{this->config.loss};
    std::bernoulli_distribution doubled{this->config.duplicates};
    std::uniform_int_distribution<duration::rep> delay{
        this->config.min_delay.count(), this->config.max_delay.count()};
    const int copies = lost(this->random) ? 0 : (doubled(this->random) ? 2 : 1);
    for (int i = 0; i < copies; ++i)
    {
        this->loop.after(
            duration{delay(this->random)},
            [this, from, to, action]
            {
                if (!this->broken(from, to))
                {
                    this->run_on(to, action);
                }
            });
    }
}

void limit_fleet::run_on(std::size_t index, std::function<void()> action)
{
    instance& one = *this->instances[index];
    if (one.up && one.paused)
    {
        one.delayed.push_back(std::move(action));
    }
    else if (one.up)
    {
        action();
    }
}

std::vector<std::size_t>
all_but(std::size_t count, const std::vector<std::size_t>& absent)
{
    std::vector<std::size_t> indices(count);
    std::iota(indices.begin(), indices.end(), std::size_t{0});
    std::erase_if(
        indices,
        [&](std::size_t index)
        {
            return std::ranges::find(absent, index) != absent.end();
        });
    return indices;
}

} // namespace fireflysail::simulation
