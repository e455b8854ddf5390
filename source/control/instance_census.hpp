#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "store/store.hpp"

#include <atomic>
#include <cstddef>

namespace fireflysail
{

/// Counts the instances that serve, by an object that each writes once. Objects
/// of instances that are gone stay, so the count errs upwards: for what is
/// divided among the instances that is the safe side. Used by one thread;
/// `count` by any.
class instance_census
{
public:
    static constexpr const char* kind = "instance";

    instance_census(instance_id self, store& objects, const clock& time);

    /// Makes the calls that are due.
    void step();

    /// Zero while not known.
    std::size_t count() const;

private:
    const instance_id self;
    store& objects;
    const clock& time;
    time_point next_count{};
    bool registered = false;
    std::atomic<std::size_t> counted{0};
};

} // namespace fireflysail
