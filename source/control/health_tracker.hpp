#pragma once

#include <cstdint>

namespace fireflysail
{

struct health_settings
{
    /// Consecutive failures after which a backend server is considered
    /// unhealthy.
    std::uint32_t unhealthy_threshold = 3;
    /// Consecutive successes after which an unhealthy backend server is
    /// considered healthy again.
    std::uint32_t healthy_threshold = 2;
    /// Consecutive equal readings of the instance list that are needed to
    /// change `listed_as_leaving`.
    std::uint32_t listing_threshold = 2;
};

/// State of a server in one reading of the platform's instance list, which lags
/// behind the actual state.
enum class listing
{
    live,
    leaving,
    absent,
};

/// Tracks the health of one backend server by probes, requests and the instance
/// list. Changes state only after several consecutive observations; one failure
/// is enough while the instance list does not show the server as live.
class health_tracker
{
public:
    explicit health_tracker(health_settings settings = {});

    /// Records the result of a probe or a request. Returns true if `healthy`
    /// changed.
    bool on_outcome(bool succeeded);

    /// Records one reading of the instance list. Returns true if
    /// `listed_as_leaving` changed.
    bool on_listing(listing reading);

    bool healthy() const noexcept;

    /// Returns true if the server is healthy and its last results were enough
    /// consecutive successes. A server without any results yet is healthy, but
    /// not confirmed.
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
