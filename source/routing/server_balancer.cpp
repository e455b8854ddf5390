#include "routing/server_balancer.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Reported load older than this is ignored, because requests take only tens of
/// milliseconds.
constexpr duration load_lifetime = 500ms;

/// Weight of a new sample in the moving averages of failures and response
/// times.
constexpr double smoothing = 0.2;

/// Half-life of the failure rate, so that a server that recovered is tried
/// again.
constexpr duration failure_half_life = 2s;

/// Cost of a server that fails every request, in units of a full load (all
/// slots used).
constexpr double failure_weight = 8;

/// Cost of using a server in another zone, in units of a full load. Small
/// enough to act mainly as a tie-breaker.
constexpr double cross_zone_cost = 0.05;

/// Part of its slots that a failing server keeps, so that it is tried again.
constexpr double min_health = 0.01;

/// Bounds how long a server is made up for requests that it did not get. Well
/// above the credits at which instances begin: servers at the bound are equal.
constexpr double max_credit = 1;

/// Horizon of the draw, relative to the age of the counts. Above one, because
/// the effect of a draw is missing from the next counts as well.
constexpr int horizon_per_age = 2;

constexpr std::uint32_t default_slots = 8;

double slots_of(const service_server& server)
{
    return server.slots > 0 ? server.slots : default_slots;
}

double decayed(double rate, duration age)
{
    const double half_lives = std::chrono::duration<double>{age} /
                              std::chrono::duration<double>{failure_half_life};
    return rate * std::exp2(-half_lives);
}

} // namespace

const service_server* server_balancer::choose(
    const fleet_snapshot& fleet,
    const service_id& service,
    const zone_id& own_zone,
    std::span<const server_id> excluded,
    time_point now,
    std::mt19937_64& random)
{
    std::vector<const service_server*> usable;
    bool has_fleet_counts = false;
    for (const service_server& server : fleet.services)
    {
        if (server.service != service || !server.healthy ||
            !accepts_new_work(server.mark) ||
            std::ranges::find(excluded, server.id) != excluded.end())
        {
            continue;
        }
        usable.push_back(&server);
        const auto found = this->records.find(server.id);
        if (found != this->records.end())
        {
            fleet_server_load& load = found->second.fleet;
            load.set_start(server.started_at_ms, now);
            has_fleet_counts = has_fleet_counts || load.is_fresh(now);
        }
    }
    return has_fleet_counts
               ? this->choose_by_fleet(usable, own_zone, now, random)
               : this->choose_by_own(usable, own_zone, now, random);
}

const service_server* server_balancer::choose_by_own(
    std::span<const service_server* const> usable,
    const zone_id& own_zone,
    time_point now,
    std::mt19937_64& random) const
{
    const service_server* best = nullptr;
    double lowest = 0;
    std::size_t ties = 0;
    for (const service_server* const server : usable)
    {
        const double cost = this->cost(*server, own_zone, now);
        ties = best != nullptr && cost == lowest ? ties + 1 : 1;
        const bool wins_tie = ties > 1 && random() % ties == 0;
        if (best == nullptr || cost < lowest || wins_tie)
        {
            best = server;
            lowest = cost;
        }
    }
    return best;
}

const service_server* server_balancer::choose_by_fleet(
    std::span<const service_server* const> usable,
    const zone_id& own_zone,
    time_point now,
    std::mt19937_64& random)
{
    std::vector<server_candidate> candidates;
    candidates.reserve(usable.size());
    duration age{};
    for (const service_server* const server : usable)
    {
        candidates.push_back(this->candidate_of(*server, own_zone, now));
        const fleet_server_load* const load = candidates.back().load;
        age = std::max(age, load != nullptr ? load->age(now) : age);
    }
    const std::vector<server_share> shares =
        fleet_shares(candidates, horizon_per_age * age);
    // Smooth weighted round robin: more even than independent draws. Instances
    // begin at random places, so that they do not choose the same server.
    const service_server* best = nullptr;
    double highest = 0;
    for (std::size_t i = 0; i < usable.size(); ++i)
    {
        std::optional<double>& credit = this->records[usable[i]->id].credit;
        if (!credit)
        {
            credit = std::uniform_real_distribution<double>{-0.5, 0.5}(random);
        }
        credit = std::clamp(*credit + shares[i].share, -max_credit, max_credit);
        const double rank = *credit - shares[i].delay;
        if (shares[i].share > 0 && (best == nullptr || rank > highest))
        {
            best = usable[i];
            highest = rank;
        }
    }
    *this->records[best->id].credit -= 1;
    return best;
}

server_candidate server_balancer::candidate_of(
    const service_server& server, const zone_id& own_zone, time_point now) const
{
    server_candidate result;
    result.slots = server.slots > 0 ? server.slots : default_slots;
    result.is_local = server.zone == own_zone;
    const auto found = this->records.find(server.id);
    if (found == this->records.end())
    {
        return result;
    }
    const record& known = found->second;
    const double own_failures =
        decayed(known.failure_rate, now - known.failure_rate_updated_at);
    result.health = std::exp(-failure_weight * own_failures);
    result.in_flight = known.in_flight;
    if (known.fleet.is_fresh(now))
    {
        result.load = &known.fleet;
        result.in_flight = std::max(result.in_flight, known.fleet.in_flight());
        const duration report_age = now - known.load_reported_at;
        if (report_age < known.fleet.age(now))
        {
            result.reported = known.reported_load;
            result.report_age = report_age;
        }
        result.health *= 1 - known.fleet.failing_probability();
    }
    result.health = std::max(result.health, min_health);
    return result;
}

double server_balancer::cost(
    const service_server& server, const zone_id& own_zone, time_point now) const
{
    const double zone_cost = server.zone == own_zone ? 0 : cross_zone_cost;
    const auto found = this->records.find(server.id);
    if (found == this->records.end())
    {
        return zone_cost;
    }
    const record& known = found->second;
    return load_of(known, now) / slots_of(server) + zone_cost +
           failure_weight *
               decayed(known.failure_rate, now - known.failure_rate_updated_at);
}

std::uint32_t server_balancer::load_of(const record& known, time_point now)
{
    const bool fresh = now - known.load_reported_at < load_lifetime;
    return fresh ? std::max(known.reported_load, known.in_flight)
                 : known.in_flight;
}

void server_balancer::on_sent(const server_id& server, time_point now)
{
    record& known = this->records[server];
    ++known.in_flight;
    known.fleet.on_own_change(1, now);
}

void server_balancer::on_ended(
    const server_id& server,
    server_outcome outcome,
    duration response_time,
    time_point now)
{
    record& known = this->records[server];
    if (known.in_flight > 0)
    {
        --known.in_flight;
        known.fleet.on_own_change(-1, now);
    }
    const double failure = outcome == server_outcome::answered ? 0 : 1;
    known.failure_rate =
        decayed(known.failure_rate, now - known.failure_rate_updated_at);
    known.failure_rate += smoothing * (failure - known.failure_rate);
    known.failure_rate_updated_at = now;
    if (outcome == server_outcome::answered)
    {
        const double seconds =
            std::chrono::duration<double>{response_time}.count();
        known.response_seconds =
            known.response_seconds == 0
                ? seconds
                : known.response_seconds +
                      smoothing * (seconds - known.response_seconds);
    }
}

void server_balancer::on_cancelled(const server_id& server, time_point now)
{
    record& known = this->records[server];
    known.in_flight -= known.in_flight > 0 ? 1 : 0;
    known.fleet.on_own_change(-1, now);
}

void server_balancer::on_leaving_hint(const server_id& server, time_point now)
{
    record& known = this->records[server];
    known.failure_rate = 1;
    known.failure_rate_updated_at = now;
}

void server_balancer::on_load(
    const server_id& server,
    std::uint32_t running,
    std::uint32_t waiting,
    time_point now)
{
    record& known = this->records[server];
    known.reported_load = running + waiting;
    known.load_reported_at = now;
}

void server_balancer::set_fleet_counts(
    const server_id& server,
    const fleet_server_counts& counts,
    time_point measured_at)
{
    this->records[server].fleet.set(counts, measured_at);
}

std::uint32_t server_balancer::in_flight(const server_id& server) const
{
    const auto found = this->records.find(server);
    return found == this->records.end() ? 0 : found->second.in_flight;
}

bool server_balancer::has_room(
    const service_server& server, time_point now) const
{
    const auto found = this->records.find(server.id);
    return found == this->records.end() ||
           load_of(found->second, now) < slots_of(server);
}

bool server_balancer::has_room(
    const fleet_snapshot& fleet,
    const service_id& service,
    time_point now) const
{
    double load = 0;
    double slots = 0;
    for (const service_server& server : fleet.services)
    {
        if (server.service != service || !server.healthy ||
            !accepts_new_work(server.mark))
        {
            continue;
        }
        const auto found = this->records.find(server.id);
        load += found == this->records.end() ? 0 : load_of(found->second, now);
        slots += slots_of(server);
    }
    return load < slots;
}

std::optional<duration>
server_balancer::response_time(const server_id& server) const
{
    const auto found = this->records.find(server);
    if (found == this->records.end() || found->second.response_seconds == 0)
    {
        return std::nullopt;
    }
    return from_seconds(found->second.response_seconds);
}

} // namespace fireflysail
