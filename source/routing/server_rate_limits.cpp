#include "routing/server_rate_limits.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

using float_seconds = std::chrono::duration<double>;

double seconds(duration time)
{
    return float_seconds{time}.count();
}

} // namespace

server_rate_limits::server_rate_limits(
    const instance_id& self, const options& limits)
    : self{self}
    , limits{limits}
{
}

void server_rate_limits::set_peers(
    std::vector<instance_id> others, std::size_t unknown_count)
{
    this->others = std::move(others);
    this->unknown_count = std::max<std::size_t>(1, unknown_count);
}

bool server_rate_limits::on_answer(
    const server_id& server, std::optional<double> limit, time_point now)
{
    const auto found = this->records.find(server);
    if (limit)
    {
        const bool is_news =
            found == this->records.end() || found->second.limit != *limit;
        this->on_report({server, limit, {}}, now);
        return is_news;
    }
    const bool ends = found != this->records.end() &&
                      now - found->second.named_at >= this->limits.end_delay;
    if (ends)
    {
        this->on_report({server, std::nullopt, {}}, now);
    }
    return ends;
}

void server_rate_limits::on_report(const server_limit& told, time_point now)
{
    if (!told.limit)
    {
        this->records.erase(told.server);
        this->buckets.erase(told.server);
        return;
    }
    const time_point named_at = now - told.age;
    const auto found = this->records.find(told.server);
    if (told.age >= this->limits.lifetime ||
        (found != this->records.end() && named_at < found->second.named_at))
    {
        return;
    }
    this->forget_old(now);
    record& known = this->records[told.server];
    known.limit = *told.limit;
    known.named_at = named_at;
}

server_limit
server_rate_limits::limit_of(const server_id& server, time_point now) const
{
    const auto found = this->records.find(server);
    const bool is_known = found != this->records.end() &&
                          now - found->second.named_at < this->limits.lifetime;
    if (!is_known)
    {
        return {server, std::nullopt, {}};
    }
    return {server, found->second.limit, now - found->second.named_at};
}

instance_id
server_rate_limits::owner_of(const server_id& server, time_point now) const
{
    const auto rank = [this, &server, now](const instance_id& instance)
    {
        const bool is_available =
            this->state_of(instance, now) == owner_state::available;
        return std::pair{
            is_available, rendezvous_weight(server.str(), instance.str())};
    };
    instance_id owner = this->self;
    for (const instance_id& peer : this->others)
    {
        if (this->state_of(peer, now) != owner_state::silent &&
            rank(peer) > rank(owner))
        {
            owner = peer;
        }
    }
    return owner;
}

owner_state
server_rate_limits::state_of(const instance_id& peer, time_point now) const
{
    if (peer == this->self)
    {
        return this->is_leaving ? owner_state::leaving : owner_state::available;
    }
    const auto found = this->absent.find(peer);
    return found != this->absent.end() && now < found->second.until
               ? found->second.state
               : owner_state::available;
}

double server_rate_limits::rate_of(double limit) const
{
    const double rate = std::max(limit, this->limits.min_limit);
    return this->others.empty()
               ? rate / static_cast<double>(this->unknown_count)
               : rate;
}

rate_grant server_rate_limits::grant(const server_limit& known, time_point now)
{
    this->on_report(known, now);
    if (!known.limit)
    {
        return {true, {}};
    }
    const auto [found, is_new] = this->buckets.try_emplace(known.server);
    bucket& filled = found->second;
    if (is_new)
    {
        // Empty: another instance may have granted requests until now.
        filled.updated_at = now;
        filled.told_at = now;
    }
    const double rate = this->rate_of(*known.limit);
    const double most =
        this->limits.min_burst + rate * seconds(this->limits.burst_time);
    filled.tokens =
        std::min(most, filled.tokens + rate * seconds(now - filled.updated_at));
    filled.updated_at = now;
    if (filled.tokens >= 1)
    {
        filled.tokens -= 1;
        return {true, {}};
    }
    const float_seconds wait{(1 - filled.tokens) / rate};
    return {false, std::chrono::duration_cast<duration>(wait)};
}

void server_rate_limits::on_denied(
    const server_id& server, duration wait, time_point now)
{
    const auto found = this->records.find(server);
    if (found != this->records.end())
    {
        found->second.exhausted_until = now + wait;
    }
}

owner_presence
server_rate_limits::on_silent(const instance_id& owner, time_point now)
{
    absence& known = this->absent[owner];
    const bool is_repeated =
        known.state == owner_state::silent && known.length != duration{};
    known.length = is_repeated
                       ? std::min(known.length * 2, this->limits.max_silence)
                       : this->limits.initial_silence;
    known.state = owner_state::silent;
    known.until = now + known.length;
    return {owner, owner_state::silent, known.length};
}

void server_rate_limits::on_presence(const owner_presence& told, time_point now)
{
    if (told.state == owner_state::available)
    {
        this->absent.erase(told.instance);
        return;
    }
    const duration pause = std::min(told.pause, this->limits.max_silence);
    this->absent[told.instance] = {told.state, now + pause, pause};
}

void server_rate_limits::leave()
{
    this->is_leaving = true;
}

std::vector<server_id> server_rate_limits::exhausted(time_point now) const
{
    std::vector<server_id> servers;
    for (const auto& [server, known] : this->records)
    {
        if (now < known.exhausted_until && this->limit_of(server, now).limit)
        {
            servers.push_back(server);
        }
    }
    return servers;
}

std::optional<duration>
server_rate_limits::time_until_room(time_point now) const
{
    std::optional<duration> least;
    for (const auto& [server, known] : this->records)
    {
        if (now < known.exhausted_until && this->limit_of(server, now).limit)
        {
            const duration wait = known.exhausted_until - now;
            least = least ? std::min(*least, wait) : wait;
        }
    }
    return least;
}

std::vector<server_limit> server_rate_limits::take_due_reports(time_point now)
{
    this->forget_old(now);
    std::vector<server_limit> due;
    for (auto& [server, known] : this->buckets)
    {
        const server_limit limit = this->limit_of(server, now);
        if (now - known.told_at >= this->limits.tell_interval && limit.limit &&
            this->owner_of(server, now) == this->self)
        {
            known.told_at = now;
            due.push_back(limit);
        }
    }
    return due;
}

void server_rate_limits::forget_old(time_point now)
{
    absl::erase_if(
        this->records,
        [this, now](const auto& item)
        {
            return now - item.second.named_at >= this->limits.lifetime;
        });
    absl::erase_if(
        this->buckets,
        [this, now](const auto& item)
        {
            return now - item.second.updated_at >= this->limits.lifetime;
        });
    const auto drop_oldest = [this](auto& table, auto age)
    {
        if (table.size() >= this->limits.max_servers)
        {
            table.erase(std::ranges::min_element(table, {}, age));
        }
    };
    drop_oldest(
        this->records,
        [](const auto& item)
        {
            return item.second.named_at;
        });
    drop_oldest(
        this->buckets,
        [](const auto& item)
        {
            return item.second.updated_at;
        });
}

std::size_t server_rate_limits::limited_count() const
{
    return this->records.size();
}

} // namespace fireflysail
