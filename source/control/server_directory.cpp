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
    this->is_restored = true;
}

void server_directory::replace_all(
    std::vector<server_entry> entries, time_point now)
{
    std::set<server_id> present;
    for (server_entry& entry : entries)
    {
        const server_id id = entry.id;
        present.insert(id);
        if (this->is_restored && this->has_later_boot(entry))
        {
            continue;
        }
        const auto used_from = this->use_time(entry, now);
        this->servers.insert_or_assign(
            id, tracked_entry{std::move(entry), std::nullopt, used_from});
    }
    this->is_restored = false;
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
        id, tracked_entry{std::move(entry), std::nullopt, std::nullopt});
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

bool server_directory::has_later_boot(const server_entry& entry) const
{
    const auto known = this->servers.find(entry.id);
    return known != this->servers.end() &&
           known->second.entry.started_at_ms > entry.started_at_ms;
}

std::optional<time_point>
server_directory::use_time(const server_entry& entry, time_point now) const
{
    const auto known = this->servers.find(entry.id);
    if (known != this->servers.end())
    {
        const bool is_written_again = known->second.entry != entry;
        return is_written_again ? std::nullopt : known->second.used_from;
    }
    const auto gone = this->removed.find(entry.id);
    const bool was_removed = this->is_restored && gone != this->removed.end() &&
                             gone->second.started_at_ms == entry.started_at_ms;
    return was_removed ? std::optional{now + this->options.reappearance_delay}
                       : std::nullopt;
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
    std::erase_if(
        this->removed,
        [this, now](const auto& item)
        {
            return now - item.second.at > this->options.removal_memory;
        });
    bool is_changed = false;
    for (auto& [id, server] : this->servers)
    {
        if (server.used_from && *server.used_from <= now)
        {
            server.used_from.reset();
            is_changed = true;
        }
    }
    const auto erased = std::erase_if(
        this->servers,
        [this, now](const auto& item)
        {
            const auto& [id, server] = item;
            const bool is_due =
                server.removal_due && *server.removal_due <= now;
            if (is_due)
            {
                this->removed.insert_or_assign(
                    id, removed_entry{server.entry.started_at_ms, now});
            }
            return is_due;
        });
    return is_changed || erased > 0;
}

std::optional<time_point> server_directory::next_expiry() const
{
    std::optional<time_point> next;
    for (const tracked_entry& server : this->servers | std::views::values)
    {
        for (const auto& due : {server.removal_due, server.used_from})
        {
            if (due)
            {
                next = next ? std::min(*next, *due) : due;
            }
        }
    }
    return next;
}

std::vector<server_entry> server_directory::entries() const
{
    std::vector<server_entry> all;
    for (const tracked_entry& server : this->servers | std::views::values)
    {
        if (!server.used_from)
        {
            all.push_back(server.entry);
        }
    }
    return all;
}

} // namespace fireflysail
