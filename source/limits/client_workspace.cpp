#include "limits/client_workspace.hpp"

#include "common/invariant.hpp"

#include <algorithm>
#include <cmath>

namespace fireflysail
{

namespace
{

constexpr double headroom = 1.25;
// For this long the largest recent request is used as the estimated cost of the
// next ones.
constexpr duration largest_cost_lifetime = std::chrono::seconds{5};
constexpr duration release_interval = std::chrono::milliseconds{200};
constexpr duration shortest_retry = std::chrono::milliseconds{1};
constexpr duration default_retry = std::chrono::milliseconds{50};
constexpr duration longest_retry = std::chrono::seconds{5};

std::uint32_t with_headroom(std::uint32_t amount)
{
    return static_cast<std::uint32_t>(std::ceil(amount * headroom));
}

} // namespace

client_workspace::client_workspace(const limit_timing& timing)
    : timing{&timing}
{
}

limit_outcome client_workspace::try_acquire(
    token_count cost, attempt_kind attempt, time_point now)
{
    this->refresh(now);
    this->last_attempt = now;
    const auto tokens = static_cast<double>(cost.value());
    if (attempt == attempt_kind::first)
    {
        this->request_meter.add(1, now);
        this->token_meter.add(tokens, now);
    }
    this->update_largest_cost(cost.value(), now);
    if (this->running >= this->usable_slots(now))
    {
        ++this->waiting_requests;
        this->waiting_tokens += cost.value();
        return this->refuse(limit_kind::concurrency, default_retry, now);
    }
    if (!this->take_permit(cost.value(), now))
    {
        ++this->waiting_requests;
        this->waiting_tokens += cost.value();
        const bool has_request = this->request_bucket.level(now) >= 1;
        return this->refuse(
            has_request ? limit_kind::tokens : limit_kind::requests,
            this->wait_for_permit(tokens, now),
            now);
    }
    ++this->running;
    this->peak_running = std::max(this->peak_running, this->running);
    return limit_granted{};
}

void client_workspace::finish(time_point)
{
    ensure(this->running > 0, "a finished request holds a slot");
    --this->running;
}

void client_workspace::give_back(token_count unused, time_point now)
{
    this->refresh(now);
    this->tokens_bucket.give_back(static_cast<double>(unused.value()), now);
}

bool client_workspace::is_due(time_point now) const
{
    const bool starved = this->waiting_requests > 0;
    const bool renewable = this->holds_anything() || this->running > 0;
    const bool renewal =
        renewable && now >= this->last_renewal + this->timing->renewal;
    const bool release =
        this->has_excess(now) && now >= this->last_report + release_interval;
    return this->must_report || release ||
           (now >= this->ask_again_at && (starved || renewal));
}

bool client_workspace::should_include(time_point now) const
{
    return (this->holds_anything() || this->running > 0) &&
           now >= this->last_renewal + this->timing->renewal / 2;
}

bool client_workspace::is_idle(time_point now) const
{
    return !this->holds_anything() && this->running == 0 &&
           !this->must_report && this->is_unused(now);
}

workspace_demand
client_workspace::report(const workspace_id& name, time_point now)
{
    this->refresh(now);
    const limit_rates wants = this->wanted(now);
    if (this->has_excess(now))
    {
        // Report again until the owner has replied: until then it counts the
        // old share as held.
        this->must_report = true;
        const double before = this->rates.requests;
        this->rates.requests =
            std::min(this->rates.requests, wants.requests * headroom);
        this->rates.tokens =
            std::min(this->rates.tokens, wants.tokens * headroom);
        const double kept = before > 0 ? this->rates.requests / before : 0;
        this->burst.requests = std::max(1.0, this->burst.requests * kept);
        if (this->rates.requests <= 0)
        {
            this->rates = {};
            this->burst = {};
        }
        this->configure_buckets(now);
    }
    workspace_demand demand;
    demand.workspace = name;
    demand.wanted_slots =
        std::max(this->running, this->peak_running) + this->waiting_requests;
    this->slots = std::max(
        this->running,
        std::min(this->slots, with_headroom(demand.wanted_slots)));
    demand.held = this->rates;
    demand.held_burst = this->burst;
    demand.wanted = wants;
    demand.held_slots = this->slots;
    demand.running = this->running;
    demand.waiting_requests = this->waiting_requests;
    demand.largest_cost = this->largest_cost;
    demand.returned_permits = this->permits_left() + this->permits_expired;
    this->permits = {};
    this->permits_used = 0;
    this->permits_expired = 0;
    this->waiting_requests = 0;
    this->waiting_tokens = 0;
    this->peak_running = this->running;
    this->ask_again_at = now + this->timing->message_spacing;
    this->last_report = now;
    return demand;
}

void client_workspace::apply(
    const workspace_lease& lease, time_point sent_at, time_point now)
{
    this->refresh(now);
    this->must_report = false;
    this->ask_again_at = now + lease.retry_after;
    if (lease.status != lease_status::granted)
    {
        return;
    }
    this->must_report = lease.rates.requests < this->rates.requests ||
                        lease.rates.tokens < this->rates.tokens ||
                        lease.slots < this->slots;
    this->last_renewal = sent_at;
    this->lease_end = sent_at + this->timing->lease;
    this->in_tail = false;
    this->rates = lease.rates;
    this->burst = lease.burst;
    this->tail = lease.tail;
    this->slots = lease.slots;
    this->permits = lease.permits;
    this->permits_start = sent_at + lease.permits.delay;
    this->permits_used = 0;
    this->permits_expired = 0;
    this->configure_buckets(now);
}

void client_workspace::owner_changed()
{
    this->must_report = true;
    this->ask_again_at = {};
}

std::uint32_t client_workspace::running_requests() const
{
    return this->running;
}

bool client_workspace::holds_anything() const
{
    return this->rates.requests > 0 || this->rates.tokens > 0 ||
           this->slots > 0;
}

bool client_workspace::is_unused(time_point now) const
{
    // A caller that was told to retry later may still return, so the share
    // counts as used until then.
    return now >= std::max(this->last_attempt, this->ask_again_at) +
                      this->timing->idle;
}

bool client_workspace::has_excess(time_point now) const
{
    if (!this->holds_anything())
    {
        return false;
    }
    if (this->is_unused(now))
    {
        return this->rates.requests > 0 || this->slots > this->running;
    }
    // A low rate is kept during short pauses in demand: returning it and asking
    // again would cost two messages per request.
    const limit_rates wants = this->wanted(now);
    const double spare_requests =
        this->rates.requests - wants.requests * headroom;
    const double spare_tokens = this->rates.tokens - wants.tokens * headroom;
    return spare_requests > std::max(1.0, this->rates.requests / 5) ||
           (spare_requests > 0 && spare_tokens > this->rates.tokens / 5);
}

limit_rates client_workspace::wanted(time_point now) const
{
    return {
        this->request_meter.per_second(now) + this->waiting_requests,
        this->token_meter.per_second(now) +
            static_cast<double>(this->waiting_tokens)};
}

std::uint32_t client_workspace::usable_slots(time_point now) const
{
    return now < this->lease_end + this->timing->tail ? this->slots : 0;
}

void client_workspace::refresh(time_point now)
{
    if (now >= this->lease_end && !this->in_tail)
    {
        this->rates.requests =
            std::min(this->rates.requests, this->tail.requests);
        this->rates.tokens = std::min(this->rates.tokens, this->tail.tokens);
        this->configure_buckets(std::max(this->lease_end, time_point{}));
        this->in_tail = true;
    }
    if (now >= this->lease_end + this->timing->tail)
    {
        this->rates = {};
        this->burst = {};
        this->slots = this->running;
        this->configure_buckets(now);
    }
}

void client_workspace::configure_buckets(time_point now)
{
    this->request_bucket.configure(
        this->rates.requests, this->burst.requests, now);
    this->tokens_bucket.configure(this->rates.tokens, this->burst.tokens, now);
}

bool client_workspace::take_permit(std::uint64_t cost, time_point now)
{
    if (this->take_from_lease(static_cast<double>(cost), now))
    {
        return true;
    }
    this->skip_expired_permits(now);
    const bool usable = this->permits_left() > 0 &&
                        now >= this->next_permit() &&
                        this->permits.cost >= cost;
    this->permits_used += usable ? 1 : 0;
    return usable;
}

bool client_workspace::take_from_lease(double cost, time_point now)
{
    if (this->request_bucket.level(now) < 1 ||
        this->tokens_bucket.level(now) < cost)
    {
        return false;
    }
    this->request_bucket.take(1, now);
    this->tokens_bucket.take(cost, now);
    return true;
}

void client_workspace::skip_expired_permits(time_point now)
{
    while (this->permits_left() > 0 &&
           now >= this->next_permit() + this->timing->permit)
    {
        ++this->permits_expired;
    }
}

std::uint32_t client_workspace::permits_left() const
{
    return this->permits.count - this->permits_used - this->permits_expired;
}

time_point client_workspace::next_permit() const
{
    const std::uint32_t index = this->permits_used + this->permits_expired;
    return this->permits_start + index * this->permits.spacing;
}

limit_refused
client_workspace::refuse(limit_kind limit, duration wait, time_point now) const
{
    const duration until_answer =
        std::max(this->ask_again_at - now, default_retry);
    return {
        limit,
        std::clamp(wait, shortest_retry, until_answer),
        this->holds_anything()};
}

duration client_workspace::wait_for_permit(double cost, time_point now) const
{
    const duration for_request = this->request_bucket.time_until(1, now);
    const duration for_tokens = this->tokens_bucket.time_until(cost, now);
    const duration for_lease = std::max(for_request, for_tokens);
    const duration for_single =
        this->permits_left() > 0 ? this->next_permit() - now : longest_retry;
    return std::min({for_lease, for_single, longest_retry});
}

void client_workspace::update_largest_cost(std::uint64_t cost, time_point now)
{
    const bool forgotten = now >= this->largest_cost_at + largest_cost_lifetime;
    if (forgotten || cost >= this->largest_cost)
    {
        this->largest_cost = cost;
        this->largest_cost_at = now;
    }
}

} // namespace fireflysail
