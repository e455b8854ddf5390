#pragma once

#include "common/identifiers.hpp"
#include "demand/demand_counts.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace fireflysail
{

/// One step of a round between two instances.
struct demand_message
{
    std::uint32_t round = 0;
    /// Steps that follow in the round. In the last, the sum is over the
    /// sender's half of the fleet; before, over a share of 2^-step of the half.
    std::uint8_t step = 0;
    demand_sum sum;

    bool operator==(const demand_message&) const = default;
};

/// Demand of the whole fleet, scaled to all of its instances.
struct demand_view
{
    demand_rows rows;
    /// When the counts were taken, on the mean.
    time_point measured_at;
    /// Share of the instances whose counts are in it.
    double covered_share = 0;

    demand_counts of(const demand_key& key) const;
};

/// Sums the counts of all instances by recursive doubling: in each step of a
/// round, an instance sends the sum over itself and the instances before it to
/// the first one after these, which then knows twice as many. The last step is
/// between the two halves of the fleet. After ceil(log2 N) steps each knows the
/// sum over all N, every one counted once. The order of the instances is one
/// that all agree on. A round begins at all instances as soon as it begins at
/// one of them. A contribution that is missing lowers `covered`; the result is
/// scaled to all instances. Not thread-safe.
///
/// Handles load that a single instance sees too little of to judge.
class fleet_demand
{
public:
    struct options
    {
        /// Time between two rounds, unless their messages would exceed
        /// `bytes_per_second`.
        duration min_interval = std::chrono::milliseconds{400};
        /// Less than the lifetime, so that views do not end between two rounds.
        duration max_interval = std::chrono::milliseconds{1700};
        double bytes_per_second = 2000;
        /// A step goes on without the message that it waits for after this
        /// time, times its number plus one.
        duration step_time = std::chrono::milliseconds{20};
        /// Sums and views older than this are not used.
        duration lifetime = std::chrono::seconds{2};
        /// Workspaces in a sum, largest first; the others are one row.
        std::size_t max_workspaces = 16;
        /// Views that cover a smaller share of the instances are not used.
        double min_covered_share = 0.5;
    };

    struct outgoing
    {
        instance_id receiver;
        demand_message message;
    };

    fleet_demand(instance_id self, const options& chosen);

    /// Sets the other instances.
    void set_peers(const std::vector<instance_id>& peers);

    /// Counts of this instance; sent from then on.
    void set_own(demand_rows rows, time_point now);

    /// What is to be sent now. Called at `next_step_at()`.
    std::vector<outgoing> poll(time_point now);

    std::vector<outgoing> on_message(
        const instance_id& from, const demand_message& message, time_point now);

    time_point next_step_at() const;

    /// Reports the size of a message that was sent.
    void on_sent(std::size_t bytes);

    /// Nothing if there is no view of enough instances that is recent enough.
    std::optional<demand_view> view(time_point now) const;

    std::size_t instance_count() const;

private:
    static constexpr std::size_t max_steps = 16;

    struct received_sum
    {
        demand_sum sum;
        std::uint32_t round = 0;
        time_point at;
    };

    /// A round that a message named and that is far from the own one.
    struct far_round
    {
        instance_id from;
        std::uint32_t number = 0;
        time_point at;
    };

    void begin_round(std::uint32_t number, time_point now);
    std::vector<outgoing> send_due(time_point now);
    bool is_valid(const demand_message& message) const;
    bool is_confirmed(
        const instance_id& from,
        std::uint32_t number,
        std::int32_t ahead,
        time_point now);
    bool has_current(std::size_t step) const;
    demand_sum own_sum(time_point now) const;
    /// Sum over the instances that the steps up to `step` cover.
    demand_sum sum_of_others(std::size_t step, time_point now) const;
    /// Steps of a round: ceil(log2 N).
    std::size_t step_count() const;
    /// Whether the sum that is sent in a step takes in this instance.
    bool sends_own(std::size_t step) const;
    std::vector<std::size_t> receivers(std::size_t step) const;
    /// Place of the first of this instance's half in `members`, and its size.
    std::pair<std::size_t, std::size_t> own_half() const;
    time_point next_round_at() const;
    duration interval() const;

    const instance_id self;
    const options chosen;
    /// All instances, in the order of the rounds.
    std::vector<instance_id> members;
    std::size_t position = 0;
    demand_rows own;
    std::optional<time_point> own_at;
    std::uint32_t round = 0;
    bool has_round = false;
    time_point round_began_at{};
    /// The round that another instance has begun.
    std::optional<std::uint32_t> next_number;
    std::optional<far_round> far;
    /// When a message of a round near the own one came last.
    time_point near_at{};
    /// Steps sent in this round.
    std::size_t sent = 0;
    std::array<std::optional<received_sum>, max_steps> received;
    /// Size of the largest message sent in this round, and in the last.
    std::size_t largest_bytes = 0;
    std::size_t last_largest_bytes = 0;
};

} // namespace fireflysail
