#pragma once

#include "common/clock.hpp"

#include <optional>
#include <random>

namespace fireflysail
{

/// What all instances did for one service within the last window.
struct fleet_hedges
{
    double requests = 0;
    double copies = 0;
};

/// Limits the second copies of a service to a share of its requests in each
/// window, over all instances together. One for each service and instance.
///
/// Each request credits a part of a token, which is forgotten after a part of
/// the window. A copy takes one token; where there is less, it is drawn with
/// that chance, and the draw spends what there is. So the expected copies of an
/// instance never exceed the share of its own requests, however many instances
/// there are and whenever they started.
///
/// With recent counts of the fleet, what all instances have left is given out
/// so slowly that the counts show it before it is spent. Instances that see few
/// requests can send copies then, too.
///
/// Handles a fault that makes copies due at all instances at once.
class hedge_limit
{
public:
    /// Largest share of second copies that can be set.
    static constexpr double max_share = 0.2;

    struct options
    {
        double share = 0;
        duration window = std::chrono::seconds{10};
        /// Part of the share that is used. A window can begin with what was
        /// credited before it, and draws vary.
        double used_share = 0.7;
        /// The same with counts of the fleet, which leave less to chance.
        double used_fleet_share = 0.9;
        /// Credits are forgotten with this time constant, as part of the
        /// window.
        double memory_part = 0.2;
        /// Older counts of the fleet are not used.
        duration fleet_lifetime = std::chrono::seconds{2};
    };

    hedge_limit(const options& chosen, time_point now);

    void on_request(time_point now);

    void set_fleet(const fleet_hedges& counted, time_point measured_at);

    /// Takes one second copy. Returns false if it may not be sent.
    bool try_take(time_point now, std::mt19937_64& random);

    /// Returns a copy that was not sent.
    void give_back(time_point now);

    /// Copies as a share of the requests of this instance, about within the
    /// last window.
    double share_used(time_point now) const;

private:
    double chance(time_point now) const;
    void forget(time_point now);

    options chosen;
    time_point updated_at;
    double tokens = 0;
    /// Of this instance, forgotten with the window as time constant.
    double requests = 0;
    double copies = 0;
    fleet_hedges fleet;
    std::optional<time_point> fleet_measured_at;
};

} // namespace fireflysail
