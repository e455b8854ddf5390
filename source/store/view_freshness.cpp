#include "store/view_freshness.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

/// Reported views that are told apart.
constexpr std::size_t max_reported = 64;

/// Instances that take over one after the other; all others do together.
constexpr std::size_t max_takeover_steps = 6;

} // namespace

view_freshness::view_freshness(
    const clock& time, const freshness_options& options)
    : time{time}
    , options{options}
{
}

void view_freshness::set_rank(std::size_t new_rank)
{
    const absl::MutexLock lock{&this->mutex};
    this->rank = new_rank;
}

void view_freshness::on_confirmed(time_point began)
{
    const absl::MutexLock lock{&this->mutex};
    this->own_confirmation = this->time.now();
    if (this->own)
    {
        this->forget_reached(this->own->newest_change);
    }
    while (!this->ahead.empty() && this->ahead.front().told_at < began)
    {
        this->refuted = this->ahead.front().view;
        this->ahead.pop_front();
    }
    if (this->ahead.empty() && this->own)
    {
        // Else what a mistaken peer reported would hide later reports.
        this->newest_reported =
            std::min(this->newest_reported, this->own->newest_change);
    }
    const time_point complete_now =
        this->ahead.empty() ? *this->own_confirmation : began;
    this->completed_at =
        std::max(this->completed_at.value_or(complete_now), complete_now);
}

void view_freshness::on_view(const view_position& view)
{
    const absl::MutexLock lock{&this->mutex};
    this->own = view;
    this->update_completeness();
}

void view_freshness::on_report(
    const view_position& of_peer, std::optional<duration> age)
{
    const absl::MutexLock lock{&this->mutex};
    const time_point now = this->time.now();
    if (age)
    {
        const reported_confirmation told{
            era_of(of_peer.newest_change), now - *age};
        this->peer_confirmation =
            std::max(this->peer_confirmation.value_or(told), told);
    }
    if (of_peer.newest_change > this->newest_reported &&
        of_peer != this->refuted)
    {
        this->newest_reported = of_peer.newest_change;
        if (this->ahead.size() == max_reported)
        {
            // The last one stands for all newer ones, with its own age.
            this->ahead.back().view = of_peer;
            this->ahead.back().told_at = now;
        }
        else
        {
            this->ahead.push_back({of_peer, now, now});
        }
    }
    this->update_completeness();
}

watch_plan view_freshness::plan(revision position)
{
    const absl::MutexLock lock{&this->mutex};
    const time_point now = this->time.now();
    const auto behind = this->behind_since(position);
    if (behind && now - *behind >= this->options.max_lag)
    {
        this->distrusted_until = now + this->options.distrust;
    }
    if (!this->is_confirmed_by_peer(now))
    {
        return {watch_plan::source::store, this->options.confirm_interval};
    }
    const bool may_read_copy =
        this->rank >= this->options.readers && now >= this->distrusted_until;
    return {
        may_read_copy ? watch_plan::source::copy : watch_plan::source::store,
        this->options.longest_watch};
}

std::optional<watch_defect>
view_freshness::find_defect(const running_watch& watch)
{
    const absl::MutexLock lock{&this->mutex};
    const time_point now = this->time.now();
    const bool is_copy = watch.plan.reads == watch_plan::source::copy;
    const duration patience =
        is_copy ? this->options.copy_patience : this->options.store_patience;
    const auto behind = this->behind_since(watch.from);
    if (behind && now - std::max(*behind, watch.since) >= patience)
    {
        if (is_copy)
        {
            this->distrusted_until = now + this->options.distrust;
        }
        return watch_defect::overlooked_change;
    }
    const bool is_long = watch.plan.longest > this->options.confirm_interval;
    const bool may_wait =
        !is_copy && now - watch.since < this->options.confirm_interval;
    if (is_long && !may_wait && !this->is_confirmed_by_peer(now))
    {
        return watch_defect::unconfirmed;
    }
    return std::nullopt;
}

std::optional<time_point> view_freshness::confirmed_at() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->own_confirmation;
}

std::optional<time_point> view_freshness::complete_at() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->completed_at;
}

bool view_freshness::confirms() const
{
    const absl::MutexLock lock{&this->mutex};
    return !this->is_confirmed_by_peer(this->time.now());
}

bool view_freshness::is_reader() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->rank < this->options.readers;
}

std::optional<time_point> view_freshness::confirmed_by_peer_at() const
{
    const bool is_comparable =
        this->peer_confirmation &&
        (!this->own ||
         this->peer_confirmation->era >= era_of(this->own->newest_change));
    return is_comparable ? std::optional{this->peer_confirmation->at}
                         : std::nullopt;
}

void view_freshness::update_completeness()
{
    if (!this->own)
    {
        return;
    }
    this->forget_reached(this->own->newest_change);
    const auto confirmed_at = this->confirmed_by_peer_at();
    if (this->ahead.empty() && confirmed_at)
    {
        this->completed_at =
            std::max(this->completed_at.value_or(*confirmed_at), *confirmed_at);
    }
}

void view_freshness::forget_reached(revision position)
{
    const auto is_reached = [&](const reported_view& reported)
    {
        return reported.view.newest_change <= position ||
               (this->own && reported.view.digest == this->own->digest);
    };
    // What comes before a view that is reached is reached as well.
    const auto last = std::ranges::find_if(
        this->ahead.rbegin(), this->ahead.rend(), is_reached);
    this->ahead.erase(this->ahead.begin(), last.base());
}

bool view_freshness::is_confirmed_by_peer(time_point now) const
{
    const auto steps = std::min(this->rank, max_takeover_steps);
    const auto confirmed_at = this->confirmed_by_peer_at();
    return confirmed_at &&
           now - *confirmed_at <
               this->options.lifetime + steps * this->options.takeover_step;
}

std::optional<time_point> view_freshness::behind_since(revision position)
{
    this->forget_reached(position);
    return this->ahead.empty() ? std::nullopt
                               : std::optional{this->ahead.front().since};
}

} // namespace fireflysail
