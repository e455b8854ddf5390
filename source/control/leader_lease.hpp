#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/result.hpp"
#include "common/store_era.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fireflysail
{

struct lease_settings
{
    /// How long a confirmed write makes its holder the leader, measured from
    /// just before the write was sent.
    duration term = std::chrono::seconds{10};
    duration renew_interval = std::chrono::seconds{3};
    /// Time that other candidates wait beyond the term, to tolerate clocks that
    /// run at slightly different rates.
    duration drift_margin = std::chrono::seconds{1};
    /// Delay after a failed store call.
    duration retry_interval = std::chrono::milliseconds{500};
    /// Timeout of one store call.
    duration call_timeout = std::chrono::seconds{1};
};

/// Stored lease of one duty.
struct lease_record
{
    instance_id holder;
    /// Distinguishes incarnations of an instance: it changes with each restart.
    std::string incarnation;
    /// Sequence number of the write within the incarnation. It identifies a
    /// write whose response was lost.
    std::uint64_t write = 0;
    /// Zero in the write that acquires the lease: see fence_of.
    fencing_number fence;
    bool released = false;
    /// Of the version that the write replaced. A store that came back from an
    /// older copy shows records of an earlier era than its answers. None in
    /// records of programs that know no eras.
    std::optional<store_era> era{};
    /// In the write that acquires the lease: the highest fence that its writer
    /// knew of. None in records of programs that don't write it.
    std::optional<fencing_number> known_fence{};

    auto operator<=>(const lease_record&) const = default;
};

struct observed_lease
{
    lease_record record;
    revision version;
};

/// The fence of a lease: the number of the change that acquired it, higher than
/// all fences known before. Programs without eras use that number, so those of
/// both ages may follow one another. In later eras, in which numbers are given
/// out again, the era precedes it.
fencing_number fence_of(const observed_lease& acquired);

/// Leadership that is valid until `valid_until` on the local clock.
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
    /// Version that the write replaces; zero creates the object.
    revision expected;
};

using lease_action = std::variant<wait_for_lease, read_lease, write_lease>;

/// State machine that decides when to read, acquire, renew and release the
/// lease of one duty. It performs no I/O and reads no clock; a pause of the
/// process between calls only lets the lease expire.
///
/// A store that came back from an older copy shows a lease that may have passed
/// on since: it is nobody's, its former holder's neither, and the full term is
/// waited out even if it was released.
class leader_lease
{
public:
    leader_lease(
        instance_id self,
        std::string incarnation,
        lease_settings settings = {});

    /// Only candidates try to acquire a free lease. Not needed for safety; it
    /// keeps the number of store calls low.
    void set_candidate(bool wanted);

    /// Releases the lease with the next write and acquires no other. `held`
    /// returns nothing at once, `latest` once the store has confirmed the
    /// release: no other instance can become leader before that.
    void release();

    /// Ends a release: the lease may be acquired again.
    void resume();

    /// Servers refused an order with this fence, so that they know a higher
    /// one: leadership with it ends. If the store confirms the lease after
    /// that, its fence is raised.
    void on_refused(fencing_number fence);

    /// Returns the next action. For a write, `now` is taken as the time before
    /// it was sent, and its result is passed to `on_written`.
    lease_action next_action(time_point now);

    /// Reports the result of a read: the lease, empty if there is none, or an
    /// error.
    void on_read(
        const result<std::optional<observed_lease>>& answer, time_point now);

    /// Reports the result of the latest write.
    void on_written(const result<revision>& answer, time_point now);

    /// The leadership held at `now`, if any.
    std::optional<leadership> held(time_point now) const;

    /// The latest leadership, even if expired, as long as no later lease was
    /// observed. Use it only for effects that fencing numbers protect.
    std::optional<leadership> latest() const;

    duration call_timeout() const;

private:
    struct sent_write
    {
        lease_record record;
        time_point sent_at;
    };

    bool is_own(const lease_record& record) const;
    void observe(std::optional<observed_lease> lease, time_point now);
    /// Returns true if the version is the first one of a later era, in which
    /// this is another incarnation.
    bool note_era(revision version);
    lease_action write(lease_record record, revision expected, time_point now);
    /// Writes the lease as a new one of this instance.
    lease_action acquire(time_point now);
    lease_action next_action_as_holder(time_point now);
    lease_action next_action_as_candidate(time_point now);
    void confirm(const lease_record& record, revision version, time_point now);
    void forget_refused();

    const instance_id self;
    const std::string first_incarnation;
    /// Changes with the era.
    std::string incarnation;
    const lease_settings settings;

    bool is_candidate = true;
    bool releasing = false;
    bool read_required = true;
    time_point next_call_at;
    bool has_read = false;
    /// The lease as last observed; empty when there was none.
    std::optional<observed_lease> observed;
    /// When `observed` was first observed.
    time_point observed_since;
    /// Whether `observed` was written in the era of its version.
    bool is_of_its_era = false;
    /// Of all leases observed.
    fencing_number highest_fence;
    /// The highest fence that servers have refused.
    fencing_number refused;
    /// The lease is held with a refused fence; a renewal tells whether still.
    bool must_renew = false;
    time_point last_read;
    time_point last_sent;
    std::uint64_t writes = 0;
    /// The latest writes with their send times, as their responses may have
    /// been lost.
    std::vector<sent_write> tracked_writes;
    std::optional<leadership> confirmed;
    std::optional<store_era> era;
};

} // namespace fireflysail
