#pragma once

#include "cluster/gossip_driver.hpp"
#include "control/fleet_controller.hpp"
#include "serving/crash_watch.hpp"

#include <absl/container/flat_hash_map.h>

namespace fireflysail
{

/// Spreads marks and quarantined requests to the other instances, and takes
/// theirs. Used by one thread.
class shared_state
{
public:
    shared_state(
        gossip_driver& gossip, fleet_controller& fleet, crash_watch& crashes);

    /// Called a few times a second.
    void tick();

private:
    void share_marks();
    void share_quarantines();
    void take(const shared_entry& entry);

    gossip_driver& gossip;
    fleet_controller& fleet;
    crash_watch& crashes;
    revision shared_marks;
    /// Version last shared of each quarantine, which grows with its crashes.
    absl::flat_hash_map<fingerprint, std::uint64_t> shared_quarantines;
};

} // namespace fireflysail
