#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/result.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fireflysail
{

struct lease_settings
{
    /// For how long a confirmed write of the lease makes its holder leader,
    /// from the moment before the write was sent.
    duration term = std::chrono::seconds{10};
    duration renew_interval = std::chrono::seconds{3};
    /// How much longer than the term others wait, so that clocks that run at
    /// slightly different rates do no harm.
    duration drift_margin = std::chrono::seconds{1};
    /// Pause after a failed call.
    duration retry_interval = std::chrono::milliseconds{500};
    /// Longest wait for the store's answer to one call.
    duration call_timeout = std::chrono::seconds{1};
};

/// The lease object of one duty.
struct lease_record
{
    instance_id holder;
    /// Tells two lives of one instance apart.
    std::string incarnation;
    /// Counts the writes of one life, to resolve a lost answer.
    std::uint64_t write = 0;
    /// Version of the write that acquired the lease; zero in that write.
    fencing_number fence;
    bool released = false;

    auto operator<=>(const lease_record&) const = default;
};

struct observed_lease
{
    lease_record record;
    revision version;
};

/// Leadership that is good until `valid_until` on the local clock.
struct leadership
{
    fencing_number fence;
    time_point acquired_at;
    time_point valid_until;
};

struct wait_for_lease
{
    time_point when;
};

struct read_lease
{
};

struct write_lease
{
    lease_record record;
    /// Version to replace; zero to create.
    revision expected;
};

using lease_action = std::variant<wait_for_lease, read_lease, write_lease>;

/// Decides when to read, take, renew and give back the lease of one duty.
/// Holds no socket and no clock: a pause anywhere between its calls only lets
/// the lease run out.
class leader_lease
{
public:
    leader_lease(
        instance_id self,
        std::string incarnation,
        lease_settings settings = {});

    /// Only candidates try to take a lease that is free. Not needed for
    /// safety; it keeps the store's calls few.
    void set_candidate(bool wanted);

    /// Give the lease back with the next write and take no other. `held` ends
    /// at once, `latest` once the store has confirmed it: nobody else can lead
    /// before that.
    void release();

    /// What to do now. After a write, `now` counts as the moment before it was
    /// sent; its end is told by `on_written`.
    lease_action next_action(time_point now);

    /// Ends a read: the lease, empty if there is none, or an error.
    void on_read(
        const result<std::optional<observed_lease>>& answer, time_point now);

    /// Ends the last write.
    void on_written(const result<revision>& answer, time_point now);

    /// The leadership held at `now`, if any.
    std::optional<leadership> held(time_point now) const;

    /// The latest leadership, run out or not, as long as no later lease was
    /// seen. Good only for effects that fencing numbers guard.
    std::optional<leadership> latest() const;

    duration call_timeout() const;

private:
    struct sent_write
    {
        lease_record record;
        time_point sent_at;
    };

    bool is_own(const lease_record& record) const;
    lease_action write(lease_record record, revision expected, time_point now);
    lease_action next_action_as_holder(time_point now);
    lease_action next_action_as_candidate(time_point now);
    void confirm(const lease_record& record, revision version, time_point now);

    const instance_id self;
    const std::string incarnation;
    const lease_settings settings;

    bool is_candidate = true;
    bool releasing = false;
    bool read_required = true;
    time_point next_call_at;
    bool has_read = false;
    /// The lease as last seen; empty when there was none.
    std::optional<observed_lease> observed;
    /// Since when nothing newer than `seen` was seen.
    time_point observed_since;
    time_point last_read;
    time_point last_sent;
    std::uint64_t writes = 0;
    /// The latest writes, whose answers may have been lost.
    std::vector<sent_write> tracked_writes;
    std::optional<leadership> confirmed;
};

} // namespace fireflysail
