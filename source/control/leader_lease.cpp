#include "control/leader_lease.hpp"

#include "common/error.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

/// Number of sent writes whose send time is kept. A write that is no longer
/// tracked and turns out to have taken effect gives no leadership until the
/// lease is renewed.
constexpr std::size_t max_tracked_writes = 8;

/// Whether the store's answer shows what was written in the same era.
bool is_written_in_era(
    const observed_lease& lease, const std::optional<observed_lease>& before)
{
    const store_era era = era_of(lease.version);
    if (lease.record.era)
    {
        return *lease.record.era == era;
    }
    // A copy shows nothing that is newer than what its era showed before.
    const bool follows = before && before->version < lease.version;
    return era <= first_store_era ||
           (follows && era_of(before->version) == era);
}

} // namespace

fencing_number fence_of(const observed_lease& acquired)
{
    const lease_record& record = acquired.record;
    if (record.fence != fencing_number{})
    {
        return record.fence;
    }
    const store_era era = era_of(acquired.version);
    const std::uint64_t number = change_number_of(acquired.version);
    if (!record.era)
    {
        return fencing_number{number};
    }
    if (!record.known_fence)
    {
        // Earlier programs put every era before the number.
        return fencing_number{acquired.version.value()};
    }
    const std::uint64_t own =
        era <= first_store_era ? number : acquired.version.value();
    return std::max(fencing_number{own}, record.known_fence->next());
}

leader_lease::leader_lease(
    instance_id self, std::string incarnation, lease_settings settings)
    : self{std::move(self)}
    , first_incarnation{std::move(incarnation)}
    , incarnation{this->first_incarnation}
    , settings{settings}
{
}

void leader_lease::set_candidate(bool wanted)
{
    this->is_candidate = wanted;
}

void leader_lease::release()
{
    this->releasing = true;
    this->is_candidate = false;
}

void leader_lease::resume()
{
    this->releasing = false;
}

void leader_lease::on_refused(fencing_number fence)
{
    this->refused = std::max(this->refused, fence);
    this->must_renew |= this->confirmed && this->confirmed->fence == fence;
    this->forget_refused();
}

void leader_lease::forget_refused()
{
    if (this->confirmed && this->confirmed->fence <= this->refused)
    {
        this->confirmed.reset();
    }
}

lease_action leader_lease::next_action(time_point now)
{
    if (now < this->next_call_at)
    {
        return wait_for_lease{this->next_call_at};
    }
    if (this->read_required)
    {
        return read_lease{};
    }
    const bool is_holder = this->observed &&
                           this->is_own(this->observed->record) &&
                           !this->observed->record.released;
    return is_holder ? this->next_action_as_holder(now)
                     : this->next_action_as_candidate(now);
}

lease_action leader_lease::next_action_as_holder(time_point now)
{
    auto record = this->observed->record;
    record.fence = fence_of(*this->observed);
    record.known_fence.reset();
    if (this->releasing)
    {
        record.released = true;
        return this->write(std::move(record), this->observed->version, now);
    }
    if (record.fence < this->highest_fence)
    {
        return this->acquire(now);
    }
    const auto renew_at = this->last_sent + this->settings.renew_interval;
    // A later leader may be why it was refused: a renewal tells.
    if (now < renew_at && !this->must_renew)
    {
        return wait_for_lease{renew_at};
    }
    return this->write(std::move(record), this->observed->version, now);
}

lease_action leader_lease::next_action_as_candidate(time_point now)
{
    const auto read_at = this->last_read + this->settings.renew_interval;
    if (this->is_candidate)
    {
        // A missing object may have been removed while its holder still leads,
        // so the full term is waited out, as for a lease that is not renewed.
        // Servers that know a higher fence refuse the holder's orders.
        const bool is_free = this->is_of_its_era &&
                             (this->observed->record.released ||
                              fence_of(*this->observed) < this->highest_fence);
        const auto free_at = this->observed_since + this->settings.term +
                             this->settings.drift_margin;
        if (is_free || now >= free_at)
        {
            return this->acquire(now);
        }
        if (now < read_at)
        {
            return wait_for_lease{std::min(read_at, free_at)};
        }
    }
    if (now < read_at)
    {
        return wait_for_lease{read_at};
    }
    if (!this->is_candidate)
    {
        return wait_for_lease{now + this->settings.renew_interval};
    }
    return read_lease{};
}

void leader_lease::on_read(
    const result<std::optional<observed_lease>>& answer, time_point now)
{
    this->last_read = now;
    if (!answer)
    {
        this->next_call_at = now + this->settings.retry_interval;
        return;
    }
    this->read_required = false;
    const auto& read = answer.value();
    const auto version = read ? read->version : revision{};
    const auto known = this->observed ? this->observed->version : revision{};
    if (read && version < known)
    {
        // A stale read says nothing about the current state of the lease.
        return;
    }
    this->note_era(version);
    if (!this->has_read || version != known)
    {
        this->observe(read, now);
    }
    this->has_read = true;
    if (read && this->is_own(read->record) && !read->record.released)
    {
        this->confirm(read->record, read->version, now);
        return;
    }
    this->must_renew = false;
    this->confirmed.reset();
}

void leader_lease::on_written(const result<revision>& answer, time_point now)
{
    if (!answer)
    {
        this->read_required = true;
        if (answer.error() != errc::conflict)
        {
            this->next_call_at = now + this->settings.retry_interval;
        }
        return;
    }
    if (this->note_era(answer.value()))
    {
        // Written over a lease that came back with the store.
        this->read_required = true;
        return;
    }
    const auto record = this->tracked_writes.back().record;
    this->observe(observed_lease{record, answer.value()}, now);
    if (record.released)
    {
        this->confirmed.reset();
        return;
    }
    if (this->must_renew)
    {
        // Still the holder. Programs of any age make lower fences of the
        // versions up to this one.
        this->highest_fence = std::max(
            this->highest_fence, fencing_number{answer.value().value()});
    }
    this->must_renew = false;
    this->confirm(record, answer.value(), now);
}

std::optional<leadership> leader_lease::held(time_point now) const
{
    if (this->releasing || !this->confirmed ||
        now >= this->confirmed->valid_until)
    {
        return std::nullopt;
    }
    return this->confirmed;
}

std::optional<leadership> leader_lease::latest() const
{
    return this->confirmed;
}

duration leader_lease::call_timeout() const
{
    return this->settings.call_timeout;
}

bool leader_lease::is_own(const lease_record& record) const
{
    return record.holder == this->self &&
           record.incarnation == this->incarnation;
}

void leader_lease::observe(std::optional<observed_lease> lease, time_point now)
{
    this->is_of_its_era = lease && is_written_in_era(*lease, this->observed);
    if (lease)
    {
        this->highest_fence = std::max(this->highest_fence, fence_of(*lease));
    }
    this->observed = std::move(lease);
    this->observed_since = now;
}

bool leader_lease::note_era(revision version)
{
    if (version == revision{})
    {
        return false;
    }
    const auto before = this->era;
    this->era = std::max(before.value_or(store_era{}), era_of(version));
    if (!before || before == this->era)
    {
        return false;
    }
    this->incarnation =
        fmt::format("{}-{}", this->first_incarnation, this->era->value());
    this->confirmed.reset();
    return true;
}

lease_action
leader_lease::write(lease_record record, revision expected, time_point now)
{
    record.write = ++this->writes;
    record.era = era_of(expected);
    this->last_sent = now;
    if (this->tracked_writes.size() == max_tracked_writes)
    {
        this->tracked_writes.erase(this->tracked_writes.begin());
    }
    this->tracked_writes.push_back({record, now});
    return write_lease{std::move(record), expected};
}

lease_action leader_lease::acquire(time_point now)
{
    lease_record acquired;
    acquired.holder = this->self;
    acquired.incarnation = this->incarnation;
    acquired.known_fence = this->highest_fence;
    return this->write(
        std::move(acquired),
        this->observed ? this->observed->version : revision{},
        now);
}

void leader_lease::confirm(
    const lease_record& record, revision version, time_point now)
{
    const auto fence = fence_of({record, version});
    const auto write = std::ranges::find(
        this->tracked_writes,
        record.write,
        [](const sent_write& one)
        {
            return one.record.write;
        });
    if (write == this->tracked_writes.end() || this->releasing)
    {
        return;
    }
    const bool is_new = !this->confirmed || this->confirmed->fence != fence;
    const auto acquired_at = is_new ? now : this->confirmed->acquired_at;
    this->confirmed =
        leadership{fence, acquired_at, write->sent_at + this->settings.term};
    this->forget_refused();
}

} // namespace fireflysail
