#include "control/leader_lease.hpp"

#include "common/error.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

/// Writes whose moment of sending is remembered. A forgotten one that turns
/// out to have taken effect gives no leadership until it is renewed.
constexpr std::size_t remembered_writes = 8;

} // namespace

leader_lease::leader_lease(
    instance_id self, std::string life, lease_settings settings)
    : self{std::move(self)}
    , life{std::move(life)}
    , settings{settings}
{
}

void leader_lease::set_candidate(bool wanted)
{
    this->candidate = wanted;
}

void leader_lease::release()
{
    this->releasing = true;
    this->candidate = false;
}

lease_step leader_lease::next(time_point now)
{
    if (now < this->not_before)
    {
        return wait_for_lease{this->not_before};
    }
    if (this->must_read)
    {
        return read_lease{};
    }
    const bool is_holder = this->seen && this->is_own(this->seen->record) &&
                           !this->seen->record.released;
    return is_holder ? this->next_as_holder(now) : this->next_as_candidate(now);
}

lease_step leader_lease::next_as_holder(time_point now)
{
    auto record = this->seen->record;
    record.fence = record.fence == fencing_number{}
                       ? fencing_number{this->seen->version.value()}
                       : record.fence;
    if (this->releasing)
    {
        record.released = true;
        return this->write(std::move(record), this->seen->version, now);
    }
    const auto renew_at = this->last_sent + this->settings.renew_interval;
    if (now < renew_at)
    {
        return wait_for_lease{renew_at};
    }
    return this->write(std::move(record), this->seen->version, now);
}

lease_step leader_lease::next_as_candidate(time_point now)
{
    const auto read_at = this->last_read + this->settings.renew_interval;
    if (this->candidate)
    {
        // An object that is missing may have been removed under its holder, so
        // absence is waited out like a lease that is not renewed.
        const bool is_free = this->seen && this->seen->record.released;
        const auto free_at = this->seen_since + this->settings.term +
                             this->settings.drift_margin;
        if (is_free || now >= free_at)
        {
            return this->write(
                {this->self, this->life, 0, {}, false},
                this->seen ? this->seen->version : revision{},
                now);
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
    if (!this->candidate)
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
        this->not_before = now + this->settings.retry_interval;
        return;
    }
    this->must_read = false;
    const auto& read = answer.value();
    const auto version = read ? read->version : revision{};
    const auto known = this->seen ? this->seen->version : revision{};
    if (read && version < known)
    {
        // A stale read tells nothing about now.
        return;
    }
    if (!this->has_read || version != known)
    {
        this->seen_since = now;
    }
    this->has_read = true;
    this->seen = read;
    if (read && this->is_own(read->record) && !read->record.released)
    {
        this->confirm(read->record, read->version, now);
        return;
    }
    this->own.reset();
}

void leader_lease::on_written(const result<revision>& answer, time_point now)
{
    if (!answer)
    {
        this->must_read = true;
        if (answer.error() != errc::conflict)
        {
            this->not_before = now + this->settings.retry_interval;
        }
        return;
    }
    const auto record = this->sent.back().record;
    this->seen = observed_lease{record, answer.value()};
    this->seen_since = now;
    if (record.released)
    {
        this->own.reset();
        return;
    }
    this->confirm(record, answer.value(), now);
}

std::optional<leadership> leader_lease::held(time_point now) const
{
    if (this->releasing || !this->own || now >= this->own->valid_until)
    {
        return std::nullopt;
    }
    return this->own;
}

std::optional<leadership> leader_lease::latest() const
{
    return this->own;
}

duration leader_lease::call_time() const
{
    return this->settings.call_time;
}

bool leader_lease::is_own(const lease_record& record) const
{
    return record.holder == this->self && record.life == this->life;
}

lease_step
leader_lease::write(lease_record record, revision expected, time_point now)
{
    record.write = ++this->writes;
    this->last_sent = now;
    if (this->sent.size() == remembered_writes)
    {
        this->sent.erase(this->sent.begin());
    }
    this->sent.push_back({record, now});
    return write_lease{std::move(record), expected};
}

void leader_lease::confirm(
    const lease_record& record, revision version, time_point now)
{
    const bool acquired = record.fence == fencing_number{};
    const auto fence =
        acquired ? fencing_number{version.value()} : record.fence;
    const auto write = std::ranges::find(
        this->sent,
        record.write,
        [](const sent_write& one)
        {
            return one.record.write;
        });
    if (write == this->sent.end() || this->releasing)
    {
        return;
    }
    const bool is_new = !this->own || this->own->fence != fence;
    const auto acquired_at = is_new ? now : this->own->acquired_at;
    this->own =
        leadership{fence, acquired_at, write->sent_at + this->settings.term};
}

} // namespace fireflysail
