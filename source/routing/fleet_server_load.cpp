#include "routing/fleet_server_load.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// A view of the fleet counts as absent from this age on.
constexpr duration counts_lifetime = 2s;

/// Time covered by the rates of the first counts, and at most by those of later
/// ones.
constexpr duration first_interval = 400ms;
constexpr duration max_interval = 1s;

/// Resolution of the corrections by own requests. Together with the number of
/// buckets it must span `counts_lifetime`.
constexpr duration bucket_span = 50ms;

/// Failure shares told apart: that of a working server and that of a failing
/// one. A server that fails about one request in six is between the two.
constexpr double working_failure_share = 0.02;
constexpr double failing_failure_share = 0.45;

/// Evidence at which a server is as likely to fail as not. One failure gives
/// 3.1, so a single one is no proof, but two in a row without an answer are.
constexpr double even_odds_evidence = 5;

/// Bounds how long a server that recovered is avoided.
constexpr double max_evidence = 12;

/// Evidence decays so that a server that recovered is tried again even where no
/// request is sent to it.
constexpr duration evidence_half_life = 4s;

/// Half-life of the answers whose mean response time is judged. One interval
/// between counts holds only some ten answers of a server, whose mean is off by
/// a third by chance.
constexpr duration answer_half_life = 1s;

/// Weight of the expected response time, in answers.
constexpr double expected_weight = 2;

/// Response times that differ by less than the first factor are taken as equal,
/// and by the second or more as they are: acting on chance moves all instances
/// at once.
constexpr double equal_slowdown = 1.5;
constexpr double certain_slowdown = 2;

/// A server is taken to stall when its requests in flight are this many times
/// those that its rate of answers explains.
constexpr double stalled_factor = 3;

/// Rate of answers in 1/s below which a rate proves no stall.
constexpr double min_stalled_rate = 1;

std::int64_t bucket_number(time_point when)
{
    return when.time_since_epoch() / bucket_span;
}

bool is_valid(const fleet_server_counts& counts)
{
    const auto is_amount = [](double value)
    {
        return std::isfinite(value) && value >= 0;
    };
    return is_amount(counts.in_flight) &&
           is_amount(counts.answered_per_second) &&
           is_amount(counts.failed_per_second) &&
           counts.mean_response_time >= duration::zero();
}

} // namespace

void fleet_server_load::set(
    const fleet_server_counts& counts, time_point measured_at)
{
    const bool is_late = this->is_known && measured_at <= this->measured_at;
    if (is_late || measured_at < this->accepted_from || !is_valid(counts))
    {
        return;
    }
    const duration interval =
        this->is_known ? std::min(measured_at - this->measured_at, max_interval)
                       : first_interval;
    const double seconds = to_seconds(interval);
    const double failed = counts.failed_per_second * seconds;
    const double answered = counts.answered_per_second * seconds;
    const double decay = std::exp2(-seconds / to_seconds(evidence_half_life));
    // A sequential test: it starts afresh from zero, so that a long time of
    // good answers does not delay the detection of failures.
    this->failure_evidence = std::clamp(
        this->failure_evidence * decay +
            failed * std::log(failing_failure_share / working_failure_share) +
            answered *
                std::log(
                    (1 - failing_failure_share) / (1 - working_failure_share)),
        0.0,
        max_evidence);
    const double fade = std::exp2(-seconds / to_seconds(answer_half_life));
    this->answers.count = this->answers.count * fade + answered;
    this->answers.seconds = this->answers.seconds * fade +
                            answered * to_seconds(counts.mean_response_time);
    this->last = counts;
    this->measured_at = measured_at;
    this->is_known = true;
}

void fleet_server_load::on_own_change(std::int32_t change, time_point now)
{
    const std::int64_t bucket = bucket_number(now);
    net_change& cell =
        this->changes[static_cast<std::size_t>(bucket) % buckets];
    cell.net = (cell.bucket == bucket ? cell.net : 0) + change;
    cell.bucket = bucket;
}

void fleet_server_load::set_start(std::uint64_t started_at_ms, time_point now)
{
    if (this->started_at_ms == started_at_ms)
    {
        return;
    }
    const bool is_restart = this->started_at_ms != 0;
    this->started_at_ms = started_at_ms;
    if (is_restart)
    {
        this->is_known = false;
        this->failure_evidence = 0;
        this->answers = {};
        // Rates measured sooner contain requests of the earlier life.
        this->accepted_from = now + first_interval;
    }
}

bool fleet_server_load::is_fresh(time_point now) const
{
    return this->is_known && this->age(now) < counts_lifetime;
}

duration fleet_server_load::age(time_point now) const
{
    return std::max(duration::zero(), now - this->measured_at);
}

double fleet_server_load::in_flight() const
{
    const std::int64_t measured_bucket = bucket_number(this->measured_at);
    const std::int32_t since = std::transform_reduce(
        this->changes.begin(),
        this->changes.end(),
        0,
        std::plus{},
        [&](const net_change& cell)
        {
            return cell.bucket > measured_bucket ? cell.net : 0;
        });
    return std::max(0.0, this->last.in_flight + since);
}

double fleet_server_load::ended_per_second() const
{
    return this->last.answered_per_second + this->last.failed_per_second;
}

const answer_sum& fleet_server_load::recent_answers() const
{
    return this->answers;
}

double fleet_server_load::slowdown(double expected) const
{
    const double mean = (this->answers.seconds + expected_weight * expected) /
                        (this->answers.count + expected_weight);
    // A server that stalls answers nothing while its requests in flight add up,
    // so that its mean response time stays as it was.
    const double stalled =
        this->last.in_flight /
        (stalled_factor * this->ended_per_second() + min_stalled_rate);
    const double ratio = std::max(mean, stalled) / expected;
    const double difference = std::max(ratio, 1 / ratio);
    const double certainty = std::clamp(
        (difference - equal_slowdown) / (certain_slowdown - equal_slowdown),
        0.0,
        1.0);
    return std::pow(ratio, certainty);
}

double fleet_server_load::failing_probability() const
{
    return 1 / (1 + std::exp(even_odds_evidence - this->failure_evidence));
}

} // namespace fireflysail
