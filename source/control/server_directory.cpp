#include "control/server_directory.hpp"

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>

namespace fireflysail
{

server_directory::server_directory(server_directory_options options)
    : options{options}
{
}

void server_directory::on_store_response(time_point now)
{
    if (this->last_response &&
        now - *this->last_response >= this->options.outage_threshold)
    {
        this->reconnected_at = now;
    }
    this->last_response = now;
}

void server_directory::on_store_restored(time_point now)
{
    this->reconnected_at = now;
    this->last_response = now;
}

void server_directory::replace_all(
    std::vector<server_entry> entries, time_point now)
{
    std::set<server_id> present;
    for (server_entry& entry : entries)
    {
        present.insert(entry.id);
        this->put(std::move(entry));
    }
    for (auto& [id, server] : this->servers)
    {
        if (!present.contains(id) && !server.removal_due)
        {
            this->schedule_removal(server, now);
        }
    }
    this->expire(now);
}

void server_directory::put(server_entry entry)
{
    const server_id id = entry.id;
    this->servers.insert_or_assign(
        id, tracked_entry{std::move(entry), std::nullopt});
}

void server_directory::remove(const server_id& id, time_point now)
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end())
    {
        return;
    }
    this->schedule_removal(found->second, now);
    this->expire(now);
}

bool server_directory::update_engine_state(
    const server_id& id,
    const std::vector<held_layers>& layers,
    std::uint64_t started_at_ms)
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end())
    {
        return false;
    }
    server_entry& entry = found->second.entry;
    const bool changed =
        entry.layers != layers || entry.started_at_ms != started_at_ms;
    entry.layers = layers;
    entry.started_at_ms = started_at_ms;
    return changed;
}

void server_directory::schedule_removal(tracked_entry& server, time_point now)
{
    server.removal_due =
        this->is_in_grace_period(now)
            ? *this->reconnected_at + this->options.grace_period
            : now;
}

bool server_directory::is_in_grace_period(time_point now) const
{
    return this->reconnected_at &&
           now < *this->reconnected_at + this->options.grace_period;
}

bool server_directory::expire(time_point now)
{
    const auto removed = std::erase_if(
        this->servers,
        [now](const auto& item)
        {
            const auto& until = item.second.removal_due;
            return until && *until <= now;
        });
    return removed > 0;
}

std::optional<time_point> server_directory::next_expiry() const
{
    std::optional<time_point> next;
    for (const tracked_entry& server : this->servers | std::views::values)
    {
        if (server.removal_due)
        {
            next = next ? std::min(*next, *server.removal_due)
                        : server.removal_due;
        }
    }
    return next;
}

std::vector<server_entry> server_directory::entries() const
{
    std::vector<server_entry> all;
    std::ranges::transform(
        this->servers | std::views::values,
        std::back_inserter(all),
        &tracked_entry::entry);
    return all;
}

} // namespace fireflysail
