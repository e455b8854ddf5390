#pragma once

#include "membership/membership.hpp"
#include "simulation/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

namespace fireflysail::simulation
{

struct gossip_fleet_config
{
    std::size_t instances = 9;
    std::size_t zones = 3;
    std::uint64_t seed = 1;
    /// Chance that a message, of either direction, is lost or doubled.
    double loss = 0;
    double duplicates = 0;
    duration min_delay = std::chrono::microseconds{500};
    duration max_delay = std::chrono::milliseconds{2};
    membership_timing timing{};
};

/// Bytes as `gossip_fleet::measure_by` counts them, both directions of every
/// call, summed over all instances: each byte is sent once and received once.
struct gossip_traffic
{
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0;
};

/// Instances that find one another and watch each other over a network that
/// loses, doubles and delays messages, on a virtual clock.
class gossip_fleet
{
public:
    explicit gossip_fleet(gossip_fleet_config config);

    static endpoint address(std::size_t index);
    event_loop& events();
    time_point now() const;
    void run_for(duration time);

    /// Starts an instance that knows these addresses only; again after a kill
    /// it has a new id. `life_offset` is added to its first incarnation.
    void start(
        std::size_t index,
        const std::vector<std::size_t>& hints,
        std::int64_t life_offset = 0);
    void start_all();
    void kill(std::size_t index);
    void pause(std::size_t index);
    void wake(std::size_t index);
    void set_broken(std::function<bool(std::size_t, std::size_t)> link_broken);
    void set_loss(double loss);

    membership& at(std::size_t index);
    instance_id id_of(std::size_t index) const;
    bool is_up(std::size_t index) const;
    /// State of `other` in the view of `viewer`; none when it is not known.
    std::optional<peer_state>
    state(std::size_t viewer, std::size_t other) const;
    /// True when each that is up sees exactly those up as alive.
    bool all_agree() const;
    /// Steps until `done` or `limit` is over; the time it took.
    std::optional<duration>
    run_until(const std::function<bool()>& done, duration limit);

    /// Suspicions, and deaths found, of instances that were up.
    std::size_t false_suspicions() const;
    std::size_t false_deaths() const;
    const gossip_traffic& traffic() const;
    void measure_by(
        std::function<std::size_t(const gossip_request&)> request_bytes,
        std::function<std::size_t(const gossip_reply&)> reply_bytes);

private:
    struct instance
    {
        std::unique_ptr<std::mt19937_64> random;
        std::unique_ptr<membership> state;
        std::uint64_t starts = 0;
        std::uint64_t changes_seen = 0;
        bool up = false;
        bool paused = false;
    };

    void tick(std::size_t index, std::uint64_t start);
    void flush(std::size_t index);
    void call(std::size_t from, const outgoing_gossip& message);
    void deliver(
        std::size_t from, std::size_t to, const std::function<void()>& action);
    void note_suspicions(std::size_t index);
    std::optional<std::size_t> index_at(const endpoint& address) const;

    gossip_fleet_config config;
    event_loop loop;
    std::mt19937_64 random;
    std::vector<instance> instances;
    std::function<bool(std::size_t, std::size_t)> broken;
    std::function<std::size_t(const gossip_request&)> request_bytes;
    std::function<std::size_t(const gossip_reply&)> reply_bytes;
    std::set<std::pair<instance_id, incarnation>> suspicions;
    std::set<std::pair<instance_id, incarnation>> deaths;
    gossip_traffic counts;
};

} // namespace fireflysail::simulation
