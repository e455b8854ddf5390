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

void server_directory::on_contact(time_point now)
{
    if (this->last_contact &&
        now - *this->last_contact >= this->options.lapse_after)
    {
        this->returned_at = now;
    }
    this->last_contact = now;
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
        if (!present.contains(id) && !server.kept_until)
        {
            this->lose(server, now);
        }
    }
    this->expire(now);
}

void server_directory::put(server_entry entry)
{
    const server_id id = entry.id;
    this->servers.insert_or_assign(id, listed{std::move(entry), std::nullopt});
}

void server_directory::remove(const server_id& id, time_point now)
{
    const auto found = this->servers.find(id);
    if (found == this->servers.end())
    {
        return;
    }
    this->lose(found->second, now);
    this->expire(now);
}

bool server_directory::observe(
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

void server_directory::lose(listed& server, time_point now)
{
    server.kept_until = this->is_returning(now)
                            ? *this->returned_at + this->options.return_time
                            : now;
}

bool server_directory::is_returning(time_point now) const
{
    return this->returned_at &&
           now < *this->returned_at + this->options.return_time;
}

bool server_directory::expire(time_point now)
{
    const auto gone = std::erase_if(
        this->servers,
        [now](const auto& item)
        {
            const auto& until = item.second.kept_until;
            return until && *until <= now;
        });
    return gone > 0;
}

std::optional<time_point> server_directory::next_expiry() const
{
    std::optional<time_point> next;
    for (const listed& server : this->servers | std::views::values)
    {
        if (server.kept_until)
        {
            next =
                next ? std::min(*next, *server.kept_until) : server.kept_until;
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
        &listed::entry);
    return all;
}

} // namespace fireflysail
