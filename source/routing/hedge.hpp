#pragma once

#include "common/clock.hpp"
#include "routing/idle_connection_policy.hpp"
#include "routing/retry_budget.hpp"

#include <array>
#include <cstddef>
#include <optional>

namespace fireflysail
{

/// Learns the spread of response times of one plain service in logarithmic
/// buckets that forget with a half-life of some hundred samples.
class response_time_spread
{
public:
    void observe(duration response);

    /// Response time that the part `q` of the calls stays within; zero until
    /// enough calls were seen.
    duration quantile(double q) const;

private:
    static constexpr std::size_t bucket_count = 96;

    std::array<double, bucket_count> buckets{};
    double total = 0;
    double sample_weight = 1;
    std::size_t samples = 0;
};

/// Decides when a second copy of an idempotent call is sent elsewhere while
/// the first has not answered.
class hedge_policy
{
public:
    struct options
    {
        /// A call slower than this part of the others is hedged.
        double quantile = 0.95;
        /// Hedging pays only when the slowest calls take this many times the
        /// typical one; otherwise the second copy would hardly be sooner.
        double worth_it = 3;
    };

    explicit hedge_policy(const options& chosen);

    void on_response(duration response);

    /// How long after dispatch a second copy is due; nothing when hedging is
    /// not allowed or does not pay.
    std::optional<duration> delay(work_kind work) const;

    /// Asks, when the delay is over, whether the second copy may be sent.
    bool try_hedge(work_kind work, retry_budget& budget, time_point now) const;

private:
    options chosen;
    response_time_spread spread;
};

} // namespace fireflysail
