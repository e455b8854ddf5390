#include "relay/backend_pool.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace fireflysail
{

namespace
{

/// Idle connections kept to one server.
constexpr std::size_t most_idle = 8;

/// A server may close an idle connection this much sooner than it says.
constexpr std::chrono::milliseconds idle_margin{500};

/// Idle limit for servers that state none.
constexpr std::chrono::seconds unstated_idle_limit{4};

std::string key_of(const endpoint& address)
{
    return fmt::format("{}:{}", address.host, address.port);
}

duration usable_idle_time(const backend_connection& kept)
{
    return kept.idle_limit.value_or(unstated_idle_limit) - idle_margin;
}

} // namespace

backend_pool::backend_pool(asio::any_io_executor executor, const clock& time)
    : executor{std::move(executor)}
    , time{time}
    , rule{idle_connection_policy::options{}}
{
}

backend_pool::taken backend_pool::take(
    const endpoint& address,
    work_kind work,
    std::span<const connection_number> without)
{
    const time_point now = this->time.now();
    auto& kept = this->idle[key_of(address)];
    const auto may_carry = [without](const auto& connection)
    {
        return std::ranges::find(without, connection->number()) ==
               without.end();
    };
    const auto find_last = [&kept, &may_carry]
    {
        return std::find_if(kept.rbegin(), kept.rend(), may_carry);
    };
    for (auto found = find_last(); found != kept.rend(); found = find_last())
    {
        auto candidate = std::move(*found);
        kept.erase(std::next(found).base());
        const duration age = now - candidate->last_heard;
        if (age >= usable_idle_time(*candidate))
        {
            continue;
        }
        if (candidate->is_spoiled())
        {
            ++this->counts.spoiled;
            this->rule.on_dead(age);
            continue;
        }
        // A caller's request is no means to validate a connection.
        if (this->rule.decide(candidate->last_heard, work, now) !=
            connection_decision::use)
        {
            continue;
        }
        ++this->counts.reused;
        return {std::move(candidate), true};
    }
    this->last_number = this->last_number.next();
    return {
        std::make_unique<backend_connection>(
            this->executor, address, this->last_number),
        false};
}

void backend_pool::give_back(std::unique_ptr<backend_connection> used)
{
    if (!used->may_be_kept())
    {
        return;
    }
    used->last_heard = this->time.now();
    auto& kept = this->idle[key_of(used->address())];
    if (kept.size() < most_idle)
    {
        kept.push_back(std::move(used));
    }
}

void backend_pool::close_idle_to(const endpoint& address)
{
    this->idle.erase(key_of(address));
}

void backend_pool::close_idle()
{
    const time_point now = this->time.now();
    for (auto& [address, kept] : this->idle)
    {
        std::erase_if(
            kept,
            [now](const std::unique_ptr<backend_connection>& connection)
            {
                return now - connection->last_heard >=
                       usable_idle_time(*connection);
            });
    }
    absl::erase_if(
        this->idle,
        [](const auto& entry)
        {
            return entry.second.empty();
        });
}

} // namespace fireflysail
