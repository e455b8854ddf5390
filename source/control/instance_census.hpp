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
struct fellow_instance
{
    instance_id id;
    endpoint address;

    bool operator==(const fellow_instance&) const = default;
};

/// Counts the instances that serve, by an object that each writes once. Objects
/// of instances that are gone stay, so the count errs upwards: for what is
/// divided among the instances that is the safe side. Used by one thread;
/// `count`, `fellows` and `has` by any.
class instance_census
{
public:
    static constexpr const char* kind = "instance";

    instance_census(
        const fellow_instance& self, store& objects, const clock& time);

    /// Makes the calls that are due.
    void step();

    /// Zero while not known.
    std::size_t count() const;

    /// The others that were counted; some may be gone.
    std::shared_ptr<const std::vector<fellow_instance>> fellows() const;

    /// Whether one of them is the instance, at the host.
    bool has(const instance_id& id, std::string_view host) const;

private:
    void register_self(time_point now);
    /// Replaces what an earlier life at another address wrote.
    void correct_self(const stored_object& written, time_point now);
    void count_all(time_point now);

    const fellow_instance self;
    store& objects;
    const clock& time;
    time_point next_count{};
    bool registered = false;
    std::atomic<std::size_t> counted{0};
    rcu_cell<std::vector<fellow_instance>> others;
};

} // namespace fireflysail
