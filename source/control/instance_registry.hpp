#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/rcu_cell.hpp"
#include "store/store.hpp"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// Another instance, and where it takes notices.
struct peer_instance
{
    instance_id id;
    endpoint address;

    bool operator==(const peer_instance&) const = default;
};

/// Counts the instances that serve, by an object that each writes once. Objects
/// of instances that are gone stay, so the count errs upwards: for what is
/// divided among the instances that is the safe side. Used by one thread;
/// `count`, `peers` and `has_peer` by any.
class instance_registry
{
public:
    static constexpr const char* kind = "instance";

    instance_registry(
        const peer_instance& self, store& objects, const clock& time);

    /// Makes the calls that are due.
    void step();

    /// Zero while not known.
    std::size_t count() const;

    /// The others that were counted; some may be gone.
    std::shared_ptr<const std::vector<peer_instance>> peers() const;

    /// Whether one of them is the instance, at the host.
    bool has_peer(const instance_id& id, std::string_view host) const;

private:
    void register_self(time_point now);
    /// Replaces what an earlier life at another address wrote.
    void update_registration(const stored_object& written, time_point now);
    void count_instances(time_point now);

    const peer_instance self;
    store& objects;
    const clock& time;
    time_point next_count{};
    bool registered = false;
    std::atomic<std::size_t> counted{0};
    rcu_cell<std::vector<peer_instance>> known_peers;
};

} // namespace fireflysail
