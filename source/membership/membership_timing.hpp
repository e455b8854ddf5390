#pragma once

#include "common/clock.hpp"

#include <chrono>
#include <cstddef>

namespace fireflysail
{

struct membership_timing
{
    /// A neighbour is probed if no message from it has arrived for this long.
    /// Up to `probe_jitter` is added, so that usually only one end of a link
    /// probes.
    duration probe_interval = std::chrono::milliseconds{1000};
    duration probe_jitter = std::chrono::milliseconds{200};
    duration reply_timeout = std::chrono::milliseconds{400};
    std::size_t indirect_probes = 3;
    /// A neighbour is suspected if it has shown no activity, direct or through
    /// others, for this long.
    duration suspect_after = std::chrono::milliseconds{2600};
    /// A suspect that does not refute the suspicion within this time is
    /// declared dead.
    duration suspicion = std::chrono::milliseconds{1200};
    /// This number of suspects in one availability zone may indicate the loss
    /// of the zone, in which case the dead instances are each other's
    /// neighbours. Each instance then watches up to `zone_watches` instances of
    /// that zone.
    std::size_t zone_suspects = 2;
    std::size_t zone_watches = 8;
    duration push_interval = std::chrono::milliseconds{50};
    std::size_t push_fanout = 3;
    std::size_t updates_in_message = 12;
    /// Maximum number of bytes of shared entries in one message.
    std::size_t entry_bytes_in_message = 1024;
    duration join_interval = std::chrono::milliseconds{500};
    /// An instance that has found no peer within this time assumes that it is
    /// alone.
    duration join_timeout = std::chrono::seconds{10};
    /// Interval at which one dead peer and one unknown address of the hints are
    /// contacted.
    duration recontact_interval = std::chrono::seconds{5};
    duration dead_memory = std::chrono::minutes{10};
    duration left_memory = std::chrono::minutes{2};
    /// Views that differ for longer than this are synchronised in full.
    duration difference_timeout = std::chrono::milliseconds{1500};
    duration sync_interval = std::chrono::seconds{2};
    /// A longer gap between two ticks means that this process was paused.
    /// Missing messages then say nothing about its peers.
    duration pause = std::chrono::milliseconds{1000};
};

} // namespace fireflysail
