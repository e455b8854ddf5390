#pragma once

#include "common/clock.hpp"
#include "routing/hedge_limit.hpp"
#include "routing/idle_connection_policy.hpp"
#include "routing/response_times.hpp"
#include "routing/retry_budget.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string_view>

namespace fireflysail
{

/// Why a second copy that was due is not sent.
enum class hedge_refusal
{
    stopping,
    /// The content may crash servers.
    suspect,
    /// The route allows no further attempt.
    attempts,
    /// No other server takes requests.
    no_server,
    /// All slots of the service or of the other server are in use.
    no_room,
    /// The other server is not expected to answer before the first one.
    not_sooner,
    /// The answer would come after the deadline.
    late,
    /// The retry budget is needed for retries after failures.
    budget,
    /// Second copies have reached their share of the requests.
    limit,
};

inline constexpr std::size_t hedge_refusals = 9;

std::string_view name_of(hedge_refusal why);

/// Decides when a second copy of an idempotent call is due because the first
/// has not been answered. One for each service.
///
/// Handles one slow server among healthy ones, single requests that take
/// several times as long as most, and responses that are lost.
class hedge_policy
{
public:
    struct options
    {
        /// Quantile of the response times after which a call may be hedged.
        double quantile = 0.95;
        /// A call that has waited longer than any response took counts as lost
        /// after this many times the median.
        double lost_ratio = 3;
        /// An older histogram of the fleet is not used.
        duration fleet_lifetime = std::chrono::seconds{2};
    };

    explicit hedge_policy(const options& chosen);

    /// A first copy was answered, or was cancelled after this time.
    void on_response(duration response);

    /// Response times that all instances observed up to `measured_at`.
    void set_fleet(const response_time_counts& counted, time_point measured_at);

    /// Response times that this instance observed, for the fleet's sum.
    response_time_counts own_counts() const;

    /// Time after dispatch at which a second copy is due: the first one from
    /// the quantile on at which the typical response takes less than the rest
    /// of the first copy. Nothing if hedging is not allowed or not worthwhile.
    std::optional<duration> delay(work_kind work, time_point now) const;

    /// Median of the response times; nothing until enough were observed.
    std::optional<duration> typical(time_point now) const;

    /// Time that the first copy is expected to take from now on, after
    /// `waited`.
    duration expected_rest(duration waited, time_point now) const;

private:
    std::optional<response_time_counts> counts_at(time_point now) const;
    duration rest(const response_time_counts& counted, duration waited) const;

    options chosen;
    response_time_histogram own;
    response_time_counts fleet;
    std::optional<time_point> fleet_measured_at;
};

/// What is known when a second copy is due.
struct hedge_facts
{
    bool is_stopping = false;
    bool is_suspect = false;
    /// Both copies count.
    std::uint32_t attempts = 1;
    std::uint32_t most_attempts = 1;
    /// Another server is there that is not leaving, backing off or at its
    /// limit.
    bool has_server = false;
    bool server_has_room = false;
    bool service_has_room = false;
    duration first_rest{};
    duration second_expected{};
    duration time_left{};
};

/// Why the second copy may not be sent; nothing if it may, within the limits.
std::optional<hedge_refusal> check_hedge(const hedge_facts& facts);

/// Takes a second copy from the retry budget and from the limit.
std::optional<hedge_refusal> take_hedge(
    retry_budget& budget,
    hedge_limit& limit,
    time_point now,
    std::mt19937_64& random);

} // namespace fireflysail
