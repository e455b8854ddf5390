#pragma once

#include "common/clock.hpp"
#include "control/instance_registry.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace fireflysail
{

/// Chooses the instance that serves the requests of this one while it is cut
/// off from the backend servers: of two drawn at random, the one with fewer of
/// its requests in flight. Registrations outlive their instances, so one that
/// cannot be reached is left out for a while.
///
/// Handles most or all instances of an availability zone that lose the backend
/// servers at once: the others share their requests evenly.
class peer_balancer
{
public:
    struct options
    {
        /// What an instance said of itself holds for this long: three notices.
        duration notice_validity = std::chrono::milliseconds{1600};
        /// An instance that cannot be reached is tried again after this.
        duration failure_pause = std::chrono::seconds{3};
    };

    explicit peer_balancer(const options& chosen);

    void set_peers(std::shared_ptr<const std::vector<peer_instance>> known);

    void on_notice(const instance_id& peer, bool is_cut_off, time_point now);

    /// A connection to the peer failed, so that no request was sent.
    void on_unreachable(const instance_id& peer, time_point now);

    bool is_cut_off(const instance_id& peer, time_point now) const;

    /// Whether a peer may be asked.
    bool has_choice(time_point now) const;

    /// Nothing if no peer but those in `without` may be asked.
    std::optional<peer_instance> choose(
        std::span<const instance_id> without,
        time_point now,
        std::mt19937_64& random) const;

    /// Counts a request that the peer serves.
    class in_flight
    {
    public:
        in_flight(peer_balancer& balancer, const instance_id& peer);
        ~in_flight();

        in_flight(const in_flight&) = delete;
        in_flight& operator=(const in_flight&) = delete;

    private:
        peer_balancer& balancer;
        const instance_id peer;
    };

private:
    struct record
    {
        time_point cut_off_until = time_point::min();
        time_point avoided_until = time_point::min();
        std::size_t in_flight = 0;
    };

    const record* find(const instance_id& peer) const;
    bool may_be_asked(const instance_id& peer, time_point now) const;
    std::size_t requests_at(const instance_id& peer) const;

    const options chosen;
    std::shared_ptr<const std::vector<peer_instance>> known;
    absl::flat_hash_map<instance_id, record> records;
};

} // namespace fireflysail
