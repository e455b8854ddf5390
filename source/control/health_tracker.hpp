#pragma once

#include <cstdint>

namespace fireflysail
{

struct health_settings
{
    /// Failures in a row after which a backend server counts as unhealthy.
    std::uint32_t unhealthy_threshold = 3;
    /// Successes in a row after which it counts as healthy again.
    std::uint32_t healthy_threshold = 2;
    /// Equal readings of the instance list in a row that are believed.
    std::uint32_t listing_threshold = 2;
};

/// What one reading of the platform's lagging instance list says of a server.
enum class listing
{
    live,
    leaving,
    absent,
};

/// Health of one backend server from probes, requests and the instance list,
/// none of which is believed at once.
class health_tracker
{
public:
    explicit health_tracker(health_settings settings = {});

    /// A probe or a request succeeded or failed; true when `healthy` changed.
    bool on_outcome(bool succeeded);

    /// True when `listed_as_leaving` changed.
    bool on_listing(listing reading);

    bool healthy() const noexcept;

    /// Healthy, and shown to be so: silence is not enough.
    bool confirmed_healthy() const noexcept;

    bool listed_as_leaving() const noexcept;

private:
    std::uint32_t failure_threshold() const noexcept;

    health_settings settings;
    std::uint32_t failures = 0;
    std::uint32_t successes = 0;
    bool is_healthy = true;
    listing last_reading = listing::live;
    std::uint32_t consecutive_readings = 0;
    bool is_leaving = false;
};

} // namespace fireflysail
