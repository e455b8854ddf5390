#include "demand/fleet_demand.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace fireflysail
{

namespace
{

/// Messages of rounds from here to there are used as they come; those of other
/// rounds only after confirmation, as one sender may have an absurd number.
constexpr std::int32_t max_rounds_behind = 2;
constexpr std::int32_t max_rounds_ahead = 8;

/// Fleets up to this size have instances that hear from only one other.
constexpr std::size_t max_single_sender_fleet = 3;

/// More than an instance can count; sums with larger figures are dropped.
constexpr double max_count_per_instance = 1e5;

bool is_plausible(const demand_counts& counts, std::uint32_t covered)
{
    const double most = max_count_per_instance * covered;
    const auto is_in_range = [most](double value)
    {
        return std::isfinite(value) && value >= 0 && value <= most;
    };
    return is_in_range(counts.in_flight) && is_in_range(counts.arrivals) &&
           is_in_range(counts.refused) && is_in_range(counts.answered) &&
           is_in_range(counts.failed) && is_in_range(counts.response_time);
}

/// Size of the first half of the instances; the second may be smaller by one.
std::size_t first_half(std::size_t count)
{
    return (count + 1) / 2;
}

} // namespace

demand_counts demand_view::of(const demand_key& key) const
{
    const auto found = this->rows.find(key);
    return found == this->rows.end() ? demand_counts{} : found->second;
}

fleet_demand::fleet_demand(instance_id self, const options& chosen)
    : self{std::move(self)}
    , chosen{chosen}
    , members{this->self}
{
}

void fleet_demand::set_peers(const std::vector<instance_id>& peers)
{
    std::vector<instance_id> all = peers;
    all.push_back(this->self);
    std::ranges::sort(all);
    const auto repeated = std::ranges::unique(all);
    all.erase(repeated.begin(), repeated.end());
    // Names are sorted by availability zone. Each half of them is summed by
    // itself first, so that it has its own sum when a link between zones fails.
    // In a half the order is by hash, so that what a lost message leaves out is
    // a sample of it.
    const auto middle =
        all.begin() + static_cast<std::ptrdiff_t>(first_half(all.size()));
    const auto by_hash = [](const instance_id& id)
    {
        return std::pair{stable_hash(id.str()), id};
    };
    std::ranges::sort(all.begin(), middle, {}, by_hash);
    std::ranges::sort(middle, all.end(), {}, by_hash);
    if (all == this->members)
    {
        return;
    }
    this->members = std::move(all);
    const auto found = std::ranges::find(this->members, this->self);
    this->position = static_cast<std::size_t>(found - this->members.begin());
    // The sums received are over other instances than those that are due now.
    // They are kept: for one or two rounds some instances may count twice or
    // not at all, instead of a fleet without views at each change of its list.
}

void fleet_demand::set_own(demand_rows rows, time_point now)
{
    absl::erase_if(
        rows,
        [](const auto& row)
        {
            return row.second == demand_counts{};
        });
    this->own = std::move(rows);
    this->own_at = now;
}

std::vector<fleet_demand::outgoing> fleet_demand::poll(time_point now)
{
    if (!this->has_round)
    {
        this->near_at = now;
    }
    if (now >= this->next_round_at())
    {
        this->begin_round(this->next_number.value_or(this->round + 1), now);
    }
    return this->send_due(now);
}

std::vector<fleet_demand::outgoing> fleet_demand::on_message(
    const instance_id& from, const demand_message& message, time_point now)
{
    if (!this->is_valid(message) ||
        std::ranges::find(this->members, from) == this->members.end())
    {
        return {};
    }
    // Signed, so that round numbers may wrap.
    const auto ahead = static_cast<std::int32_t>(message.round - this->round);
    const bool is_near =
        ahead >= -max_rounds_behind && ahead <= max_rounds_ahead;
    if (!is_near && !this->is_confirmed(from, message.round, ahead, now))
    {
        return {};
    }
    this->near_at = now;
    if (ahead > 0 || !is_near)
    {
        this->next_number = message.round;
        if (now >= this->next_round_at())
        {
            this->begin_round(message.round, now);
        }
    }
    auto& known = this->received[message.step];
    const bool is_outdated =
        known && static_cast<std::int32_t>(message.round - known->round) < 0 &&
        now - known->at < this->chosen.lifetime;
    if (!is_outdated)
    {
        known = received_sum{message.sum, message.round, now};
    }
    return this->send_due(now);
}

time_point fleet_demand::next_step_at() const
{
    const time_point next_round = this->next_round_at();
    if (this->sent >= this->step_count())
    {
        return next_round;
    }
    return std::min(
        next_round,
        this->round_began_at +
            this->chosen.step_time * static_cast<int>(this->sent));
}

void fleet_demand::on_sent(std::size_t bytes)
{
    this->largest_bytes = std::max(this->largest_bytes, bytes);
}

std::optional<demand_view> fleet_demand::view(time_point now) const
{
    demand_sum all = this->sum_of_others(0, now);
    add(all, this->own_sum(now));
    merge_small_workspaces(all.rows, this->chosen.max_workspaces);
    const std::size_t count = this->members.size();
    // While lists differ between instances, sums may overlap.
    const double share = std::min(
        1.0, static_cast<double>(all.covered) / static_cast<double>(count));
    if (all.covered == 0 || all.age > this->chosen.lifetime ||
        share < this->chosen.min_covered_share)
    {
        return std::nullopt;
    }
    const double factor = static_cast<double>(count) / all.covered;
    demand_view result;
    result.covered_share = share;
    result.measured_at = now - all.age;
    for (const auto& [key, counts] : all.rows)
    {
        result.rows[key] = counts * factor;
    }
    return result;
}

std::size_t fleet_demand::instance_count() const
{
    return this->members.size();
}

void fleet_demand::begin_round(std::uint32_t number, time_point now)
{
    this->round = number;
    this->next_number.reset();
    this->has_round = true;
    this->round_began_at = now;
    this->sent = 0;
    this->last_largest_bytes = std::exchange(this->largest_bytes, 0);
}

/// True if the rounds of the others are at `number`, which is far from the
/// own one: another sender has named it too, or only such senders are left.
bool fleet_demand::is_confirmed(
    const instance_id& from,
    std::uint32_t number,
    std::int32_t ahead,
    time_point now)
{
    const auto last = std::exchange(this->far, far_round{from, number, now});
    const auto apart =
        last ? static_cast<std::int32_t>(number - last->number) : 0;
    const bool is_agreed = last && now - last->at <= this->chosen.lifetime &&
                           apart >= -max_rounds_ahead &&
                           apart <= max_rounds_ahead;
    if (now - this->near_at > this->chosen.lifetime)
    {
        // A late message that comes twice is no confirmation.
        return is_agreed && (apart > 0 || last->from != from);
    }
    return ahead > 0 && (this->members.size() <= max_single_sender_fleet ||
                         (is_agreed && last->from != from));
}

/// A step is due once the message that completes its sum has arrived, or its
/// time is over.
std::vector<fleet_demand::outgoing> fleet_demand::send_due(time_point now)
{
    std::vector<outgoing> due;
    while (this->sent < this->step_count())
    {
        const std::size_t step = this->step_count() - 1 - this->sent;
        const time_point latest =
            this->round_began_at +
            this->chosen.step_time * static_cast<int>(this->sent);
        const bool is_complete = this->sent == 0 || this->has_current(step + 1);
        if (!is_complete && now < latest)
        {
            break;
        }
        ++this->sent;
        demand_sum sum = this->sum_of_others(step + 1, now);
        if (this->sends_own(step))
        {
            add(sum, this->own_sum(now));
        }
        if (sum.covered == 0)
        {
            continue;
        }
        merge_small_workspaces(sum.rows, this->chosen.max_workspaces);
        const demand_message message{
            this->round, static_cast<std::uint8_t>(step), std::move(sum)};
        for (const std::size_t receiver : this->receivers(step))
        {
            due.push_back({this->members[receiver], message});
        }
    }
    return due;
}

bool fleet_demand::is_valid(const demand_message& message) const
{
    // Twice what this instance would send, as lists may differ.
    return message.step < this->step_count() && message.sum.covered > 0 &&
           message.sum.covered <= (this->members.size() >> message.step) + 1 &&
           message.sum.age >= duration::zero() &&
           message.sum.age <= this->chosen.lifetime &&
           std::ranges::all_of(
               message.sum.rows,
               [&message](const auto& row)
               {
                   return is_plausible(row.second, message.sum.covered);
               });
}

bool fleet_demand::has_current(std::size_t step) const
{
    const auto& known = this->received[step];
    return known && known->round == this->round;
}

/// Empty where the counts were not taken for long: with their age they would
/// spoil every sum that they are in.
demand_sum fleet_demand::own_sum(time_point now) const
{
    if (!this->own_at || now - *this->own_at > this->chosen.lifetime)
    {
        return {};
    }
    return {this->own, 1, now - *this->own_at};
}

demand_sum fleet_demand::sum_of_others(std::size_t step, time_point now) const
{
    demand_sum all;
    for (std::size_t i = step; i < this->step_count(); ++i)
    {
        const auto& known = this->received[i];
        if (!known)
        {
            continue;
        }
        demand_sum part = known->sum;
        part.age += now - known->at;
        if (part.age <= this->chosen.lifetime)
        {
            add(all, part);
        }
    }
    return all;
}

std::size_t fleet_demand::step_count() const
{
    const std::size_t count = this->members.size();
    return count < 2
               ? 0
               : std::min<std::size_t>(
                     max_steps, std::bit_width(first_half(count) - 1) + 1);
}

/// In a half, the binary digits of the number of others in it, first the
/// highest, say whether a step's sum takes in the sender. So the steps complete
/// the sum over the half and none counts twice. The last step is between the
/// halves. Steps are numbered from the last, 0: while lists differ, steps of
/// the same number are over about as many instances, also where one list has
/// passed a power of two.
bool fleet_demand::sends_own(std::size_t step) const
{
    const auto [begin, size] = this->own_half();
    return step == 0 || (((size - 1) >> (step - 1)) & 1U) != 0;
}

std::vector<std::size_t> fleet_demand::receivers(std::size_t step) const
{
    const auto [begin, size] = this->own_half();
    const std::size_t place = this->position - begin;
    if (step > 0)
    {
        const std::size_t covered =
            ((size - 1) >> step) + (this->sends_own(step) ? 1 : 0);
        return {begin + (place + covered) % size};
    }
    // Another pair in each round: who would hear from an instance that is gone,
    // or from none as lists differ, still has the sum of the round before.
    // The halves differ by one where the number of instances is odd.
    std::vector<std::size_t> result;
    const std::size_t other_begin = begin == 0 ? size : 0;
    const std::size_t other_size = this->members.size() - size;
    for (std::size_t i = (place + this->round) % size; i < other_size;
         i += size)
    {
        result.push_back(other_begin + i);
    }
    return result;
}

std::pair<std::size_t, std::size_t> fleet_demand::own_half() const
{
    const std::size_t first = first_half(this->members.size());
    return this->position < first
               ? std::pair{std::size_t{0}, first}
               : std::pair{first, this->members.size() - first};
}

time_point fleet_demand::next_round_at() const
{
    if (!this->has_round)
    {
        return time_point::min();
    }
    // Others began the next round already. Half an interval bounds the messages
    // sent for a sender whose rounds follow too fast.
    return this->round_began_at + (this->next_number
                                       ? this->chosen.min_interval / 2
                                       : this->interval());
}

duration fleet_demand::interval() const
{
    // All instances follow the one that begins its round first, and sums of the
    // last steps are about as large at all of them; those of the first are not.
    const auto most = this->last_largest_bytes * this->step_count();
    const std::chrono::duration<double> by_rate{
        static_cast<double>(most) / this->chosen.bytes_per_second};
    return std::clamp(
        std::chrono::duration_cast<duration>(by_rate),
        this->chosen.min_interval,
        this->chosen.max_interval);
}

} // namespace fireflysail
