#include "simulation/gossip_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>

namespace fireflysail::simulation
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds{50};
constexpr int first_port = 7000;

} // namespace

gossip_fleet::gossip_fleet(gossip_fleet_config chosen)
    : config{chosen}
    , random{chosen.seed}
    , instances(chosen.instances)
    , broken{[](std::size_t, std::size_t)
             {
                 return false;
             }}
    , request_bytes{[](const gossip_request&)
                    {
                        return std::size_t{0};
                    }}
    , reply_bytes{[](const gossip_reply&)
                  {
                      return std::size_t{0};
                  }}
{
}

endpoint gossip_fleet::address(std::size_t index)
{
    return {fmt::format("10.0.{}.{}", index / 200, index % 200), first_port};
}

event_loop& gossip_fleet::events()
{
    return this->loop;
}

time_point gossip_fleet::now() const
{
    return this->loop.now();
}

void gossip_fleet::run_for(duration time)
{
    this->loop.run_until(this->now() + time);
}

void gossip_fleet::start(
    std::size_t index,
    const std::vector<std::size_t>& hints,
    std::int64_t life_offset)
{
    instance& one = this->instances[index];
    ++one.starts;
    one.up = true;
    one.paused = false;
    one.changes_seen = 0;
    one.random = std::make_unique<std::mt19937_64>(this->random());
    peer self;
    self.id = instance_id{fmt::format("instance-{}-{}", index, one.starts)};
    self.address = address(index);
    self.zone = zone_id{fmt::format("zone-{}", index % this->config.zones)};
    self.region = region_id{"region"};
    self.life = incarnation{
        1'700'000'000'000 + one.starts +
        static_cast<std::uint64_t>(life_offset)};
    one.state =
        std::make_unique<membership>(self, this->config.timing, *one.random);
    std::vector<endpoint> addresses;
    std::ranges::transform(hints, std::back_inserter(addresses), &address);
    one.state->add_hints(addresses);
    std::uniform_int_distribution<duration::rep> phase{
        0, tick_interval.count()};
    this->loop.after(
        duration{phase(this->random)},
        [this, index, start = one.starts]
        {
            this->tick(index, start);
        });
}

void gossip_fleet::start_all()
{
    std::vector<std::size_t> seeds(
        std::min<std::size_t>(3, this->instances.size()));
    std::iota(seeds.begin(), seeds.end(), std::size_t{0});
    for (std::size_t i = 0; i < this->instances.size(); ++i)
    {
        this->start(i, seeds);
    }
}

void gossip_fleet::kill(std::size_t index)
{
    this->instances[index].up = false;
}

void gossip_fleet::pause(std::size_t index)
{
    this->instances[index].paused = true;
}

void gossip_fleet::wake(std::size_t index)
{
    this->instances[index].paused = false;
    this->tick(index, this->instances[index].starts);
}

void gossip_fleet::set_broken(
    std::function<bool(std::size_t, std::size_t)> link_broken)
{
    this->broken = std::move(link_broken);
}

void gossip_fleet::set_loss(double loss)
{
    this->config.loss = loss;
}

membership& gossip_fleet::at(std::size_t index)
{
    return *this->instances[index].state;
}

instance_id gossip_fleet::id_of(std::size_t index) const
{
    return this->instances[index].state->self().id;
}

bool gossip_fleet::is_up(std::size_t index) const
{
    return this->instances[index].up;
}

std::optional<peer_state>
gossip_fleet::state(std::size_t viewer, std::size_t other) const
{
    const peers_snapshot seen = this->instances[viewer].state->snapshot();
    const auto found =
        std::ranges::find(seen.peers, this->id_of(other), &peer::id);
    return found == seen.peers.end() ? std::nullopt
                                     : std::optional{found->state};
}

bool gossip_fleet::all_agree() const
{
    std::set<instance_id> up;
    for (const instance& one : this->instances)
    {
        if (one.up)
        {
            up.insert(one.state->self().id);
        }
    }
    return std::ranges::all_of(
        this->instances,
        [&](const instance& one)
        {
            if (!one.up)
            {
                return true;
            }
            std::set<instance_id> seen{one.state->self().id};
            for (const peer& other : one.state->snapshot().peers)
            {
                if (other.state == peer_state::alive)
                {
                    seen.insert(other.id);
                }
            }
            return seen == up;
        });
}

std::optional<duration>
gossip_fleet::run_until(const std::function<bool()>& done, duration limit)
{
    const time_point start = this->now();
    while (this->now() < start + limit)
    {
        if (done())
        {
            return this->now() - start;
        }
        this->run_for(tick_interval);
    }
    return done() ? std::optional{limit} : std::nullopt;
}

std::size_t gossip_fleet::false_suspicions() const
{
    return this->suspicions.size();
}

std::size_t gossip_fleet::false_deaths() const
{
    return this->deaths.size();
}

const gossip_traffic& gossip_fleet::traffic() const
{
    return this->counts;
}

void gossip_fleet::measure_by(
    std::function<std::size_t(const gossip_request&)> of_request,
    std::function<std::size_t(const gossip_reply&)> of_reply)
{
    this->request_bytes = std::move(of_request);
    this->reply_bytes = std::move(of_reply);
}

void gossip_fleet::tick(std::size_t index, std::uint64_t start)
{
    const instance& one = this->instances[index];
    if (!one.up || one.paused || one.starts != start)
    {
        return;
    }
    this->flush(index);
    this->loop.after(
        tick_interval,
        [this, index, start]
        {
            this->tick(index, start);
        });
}

void gossip_fleet::flush(std::size_t index)
{
    for (const outgoing_gossip& message : this->at(index).tick(this->now()))
    {
        this->call(index, message);
    }
    this->note_suspicions(index);
}

void gossip_fleet::call(std::size_t from, const outgoing_gossip& message)
{
    ++this->counts.calls;
    this->counts.bytes += this->request_bytes(message.request);
    const std::optional<std::size_t> to = this->index_at(message.to);
    if (!to)
    {
        return;
    }
    const std::uint64_t start = this->instances[from].starts;
    this->deliver(
        from,
        *to,
        [this, from, start, to = *to, message]
        {
            const gossip_reply reply =
                this->at(to).receive(message.request, this->now());
            this->counts.bytes += this->reply_bytes(reply);
            this->flush(to);
            this->deliver(
                to,
                from,
                [this, from, start, token = message.token, reply]
                {
                    if (this->instances[from].starts == start)
                    {
                        this->at(from).reply_received(
                            token, reply, this->now());
                        this->flush(from);
                    }
                });
        });
}

void gossip_fleet::deliver(
    std::size_t from, std::size_t to, const std::function<void()>& action)
{
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
                const instance& receiver = this->instances[to];
                if (receiver.up && !receiver.paused && !this->broken(from, to))
                {
                    action();
                }
            });
    }
}

void gossip_fleet::note_suspicions(std::size_t index)
{
    instance& one = this->instances[index];
    if (one.state->changes() == one.changes_seen)
    {
        return;
    }
    one.changes_seen = one.state->changes();
    for (const peer& other : one.state->snapshot().peers)
    {
        const auto subject = this->index_at(other.address);
        const bool is_running = subject && this->instances[*subject].up &&
                                !this->instances[*subject].paused &&
                                this->id_of(*subject) == other.id &&
                                !this->broken(index, *subject);
        if (is_running && other.state == peer_state::suspect)
        {
            this->suspicions.emplace(other.id, other.life);
        }
        if (is_running && other.state == peer_state::dead)
        {
            this->deaths.emplace(other.id, other.life);
        }
    }
}

std::optional<std::size_t> gossip_fleet::index_at(const endpoint& where) const
{
    for (std::size_t i = 0; i < this->instances.size(); ++i)
    {
        if (address(i) == where)
        {
            return i;
        }
    }
    return std::nullopt;
}

} // namespace fireflysail::simulation
