#include "routing/hedge.hpp"

#include <algorithm>
#include <chrono>

namespace fireflysail
{

namespace
{

constexpr double median = 0.5;

} // namespace

std::string_view name_of(hedge_refusal why)
{
    switch (why)
    {
    case hedge_refusal::stopping:
        return "stopping";
    case hedge_refusal::suspect:
        return "suspect";
    case hedge_refusal::attempts:
        return "attempts";
    case hedge_refusal::no_server:
        return "no_server";
    case hedge_refusal::no_room:
        return "no_room";
    case hedge_refusal::not_sooner:
        return "not_sooner";
    case hedge_refusal::late:
        return "late";
    case hedge_refusal::budget:
        return "budget";
    case hedge_refusal::limit:
        return "limit";
    }
    return "unknown";
}

hedge_policy::hedge_policy(const options& chosen)
    : chosen{chosen}
{
}

void hedge_policy::on_response(duration response)
{
    this->own.observe(response);
}

void hedge_policy::set_fleet(
    const response_time_counts& counted, time_point measured_at)
{
    this->fleet = counted;
    this->fleet_measured_at = measured_at;
}

response_time_counts hedge_policy::own_counts() const
{
    return this->own.counts();
}

std::optional<response_time_counts>
hedge_policy::counts_at(time_point now) const
{
    const bool is_fresh =
        this->fleet_measured_at &&
        now - *this->fleet_measured_at < this->chosen.fleet_lifetime;
    if (is_fresh && this->fleet.total() >= response_time_histogram::min_samples)
    {
        return this->fleet;
    }
    if (this->own.sample_count() >= response_time_histogram::min_samples)
    {
        return this->own.counts();
    }
    return std::nullopt;
}

duration
hedge_policy::rest(const response_time_counts& counted, duration waited) const
{
    const duration mean = counted.mean_rest(waited);
    const bool is_lost =
        waited >= counted.quantile(median) * this->chosen.lost_ratio;
    // Nothing is known of a wait longer than all seen; it may go on as long.
    return mean == duration::zero() && is_lost ? waited : mean;
}

std::optional<duration>
hedge_policy::delay(work_kind work, time_point now) const
{
    const auto counted = this->counts_at(now);
    if (work != work_kind::idempotent || !counted)
    {
        return std::nullopt;
    }
    const duration usual = counted->quantile(median);
    for (std::size_t i = counted->quantile_bucket(this->chosen.quantile);
         i < response_time_counts::bucket_count;
         ++i)
    {
        const duration waited = response_time_counts::bound_of(i);
        if (this->rest(*counted, waited) > usual)
        {
            return waited;
        }
    }
    return std::nullopt;
}

std::optional<duration> hedge_policy::typical(time_point now) const
{
    const auto counted = this->counts_at(now);
    return counted ? std::optional{counted->quantile(median)} : std::nullopt;
}

duration hedge_policy::expected_rest(duration waited, time_point now) const
{
    const auto counted = this->counts_at(now);
    return counted ? this->rest(*counted, waited) : duration::zero();
}

std::optional<hedge_refusal> check_hedge(const hedge_facts& facts)
{
    if (facts.is_stopping)
    {
        return hedge_refusal::stopping;
    }
    if (facts.is_suspect)
    {
        return hedge_refusal::suspect;
    }
    if (facts.attempts >= facts.most_attempts)
    {
        return hedge_refusal::attempts;
    }
    if (!facts.has_server)
    {
        return hedge_refusal::no_server;
    }
    if (!facts.server_has_room || !facts.service_has_room)
    {
        return hedge_refusal::no_room;
    }
    if (facts.second_expected >= facts.first_rest)
    {
        return hedge_refusal::not_sooner;
    }
    if (facts.second_expected >= facts.time_left)
    {
        return hedge_refusal::late;
    }
    return std::nullopt;
}

std::optional<hedge_refusal> take_hedge(
    retry_budget& budget,
    hedge_limit& limit,
    time_point now,
    std::mt19937_64& random)
{
    if (!budget.try_take_spare(now))
    {
        return hedge_refusal::budget;
    }
    if (!limit.try_take(now, random))
    {
        budget.give_back(now);
        return hedge_refusal::limit;
    }
    return std::nullopt;
}

} // namespace fireflysail
