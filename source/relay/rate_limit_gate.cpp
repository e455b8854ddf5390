#include "relay/rate_limit_gate.hpp"

#include "common/log.hpp"

#include <utility>
#include <variant>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// A reply comes within a few milliseconds from an instance that runs.
constexpr duration reply_time = 15ms;

/// Requests for one grant before its owner counts as silent: single datagrams
/// get lost.
constexpr int max_asks = 3;

/// Announcements of this instance are at least this far apart.
constexpr duration announcement_pause = 100ms;

/// A stopping instance comes last for this long, unless it starts again.
constexpr duration leaving_pause = 1min;

/// Owners asked one after the other for one request.
constexpr int max_owners = 4;

} // namespace

rate_limit_gate::rate_limit_gate(
    const asio::any_io_executor& executor,
    const clock& time,
    const instance_id& self)
    : time{time}
    , executor{executor}
    , self{self}
    , limits{self, server_rate_limits::options{}}
{
}

void rate_limit_gate::set_send(send_function send)
{
    this->send = std::move(send);
}

void rate_limit_gate::set_peers(
    std::vector<instance_id> others, std::size_t unknown_count)
{
    this->limits.set_peers(std::move(others), unknown_count);
}

void rate_limit_gate::on_answer(
    const server_id& server, std::optional<double> limit)
{
    const time_point now = this->time.now();
    if (!this->limits.on_answer(server, limit, now))
    {
        return;
    }
    log::event(
        log::level::info,
        log::channel::routing,
        limit ? "server_limit_named" : "server_limit_ended",
        {{"server", server.str()},
         {"requests_per_second", limit.value_or(0)},
         {"owner", this->limits.owner_of(server, now).str()}});
    this->send(server_limit{server, limit, {}}, std::nullopt);
}

void rate_limit_gate::on_message(
    const instance_id& from, const limit_message& message)
{
    const time_point now = this->time.now();
    if (const auto* told = std::get_if<server_limit>(&message))
    {
        this->limits.on_report(*told, now);
    }
    else if (const auto* asked = std::get_if<grant_request>(&message))
    {
        const rate_grant grant = this->limits.grant(asked->known, now);
        this->send(grant_reply{asked->number, grant}, from);
    }
    else if (const auto* presence = std::get_if<owner_presence>(&message))
    {
        this->on_presence(*presence);
    }
    else
    {
        const auto& reply = std::get<grant_reply>(message);
        const auto found = this->waiting.find(reply.number);
        if (found != this->waiting.end())
        {
            found->second->grant = reply.grant;
            found->second->timer.cancel();
        }
    }
}

void rate_limit_gate::on_presence(const owner_presence& told)
{
    if (told.instance != this->self)
    {
        this->limits.on_presence(told, this->time.now());
    }
    else if (told.state != this->own_presence().state)
    {
        // Somebody missed a reply, or what was announced.
        this->announce();
    }
}

void rate_limit_gate::announce()
{
    const time_point now = this->time.now();
    if (now < this->next_announcement)
    {
        return;
    }
    this->next_announcement = now + announcement_pause;
    this->send(this->own_presence(), std::nullopt);
}

owner_presence rate_limit_gate::own_presence() const
{
    if (this->is_leaving)
    {
        return {this->self, owner_state::leaving, leaving_pause};
    }
    return {this->self, owner_state::available, {}};
}

void rate_limit_gate::leave()
{
    this->is_leaving = true;
    this->next_announcement = {};
    this->limits.leave();
    this->announce();
}

asio::awaitable<bool> rate_limit_gate::acquire(const server_id& server)
{
    for (int owners = 0; owners < max_owners; ++owners)
    {
        const time_point now = this->time.now();
        const server_limit known = this->limits.limit_of(server, now);
        if (!known.limit)
        {
            co_return true;
        }
        const instance_id owner = this->limits.owner_of(server, now);
        std::optional<rate_grant> grant;
        if (owner == this->self)
        {
            grant = this->limits.grant(known, now);
        }
        else
        {
            grant = co_await this->ask(owner, known);
        }
        if (!grant)
        {
            ++this->totals.unanswered;
            this->send(
                this->limits.on_silent(owner, this->time.now()), std::nullopt);
            continue;
        }
        ++(grant->granted ? this->totals.granted : this->totals.denied);
        if (!grant->granted)
        {
            this->limits.on_denied(server, grant->wait, this->time.now());
        }
        co_return grant->granted;
    }
    this->limits.on_denied(server, reply_time, this->time.now());
    co_return false;
}

asio::awaitable<std::optional<rate_grant>>
rate_limit_gate::ask(const instance_id& owner, const server_limit& known)
{
    asio::steady_timer timer{this->executor};
    pending reply{timer, std::nullopt};
    const std::uint64_t number = this->next_number++;
    this->waiting.emplace(number, &reply);
    for (int asks = 0; asks < max_asks && !reply.grant; ++asks)
    {
        this->send(grant_request{number, known}, owner);
        co_await pause_for(timer, reply_time);
    }
    this->waiting.erase(number);
    co_return reply.grant;
}

std::vector<server_id> rate_limit_gate::exhausted() const
{
    return this->limits.exhausted(this->time.now());
}

std::optional<duration> rate_limit_gate::time_until_room() const
{
    return this->limits.time_until_room(this->time.now());
}

void rate_limit_gate::send_due_reports()
{
    for (const server_limit& due :
         this->limits.take_due_reports(this->time.now()))
    {
        this->send(due, std::nullopt);
    }
}

std::size_t rate_limit_gate::limited_count() const
{
    return this->limits.limited_count();
}

} // namespace fireflysail
