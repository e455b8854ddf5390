#include "control/fleet_controller.hpp"

#include "common/log.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace fireflysail
{

fleet_controller::fleet_controller(
    snapshot_cell<fleet_snapshot>& cell, health_settings settings)
    : cell{cell}
    , settings{settings}
{
}

std::vector<std::string> fleet_controller::kinds() const
{
    return store_kinds();
}

std::vector<std::string> fleet_controller::store_kinds()
{
    return {server_kind, mark_kind, model_kind, link_kind};
}

void fleet_controller::on_snapshot(const store_snapshot& snapshot)
{
    const absl::MutexLock lock{&this->mutex};
    if (snapshot.version < this->position.current())
    {
        ++this->counts.stale_snapshots;
        return;
    }
    std::ranges::for_each(
        snapshot.objects,
        [this](const stored_object& object)
        {
            this->mutex.AssertHeld();
            this->apply_written(object);
        });
    this->retain_objects_of(snapshot);
    this->position.advance_to(snapshot.version);
    this->publish();
}

void fleet_controller::on_events(const watch_batch& batch)
{
    const absl::MutexLock lock{&this->mutex};
    const auto covered = this->position;
    for (const auto& event : batch.events)
    {
        if (covered.covers(event.object.version))
        {
            ++this->counts.repeated_events;
            continue;
        }
        this->apply(event);
        this->position.advance_to(event.object.version);
    }
    this->position.advance_to(batch.next);
    if (this->changed)
    {
        this->publish();
    }
}

void fleet_controller::on_report(const server_id& server, engine_report report)
{
    const absl::MutexLock lock{&this->mutex};
    if (this->servers.find(server.str()) == nullptr)
    {
        return;
    }
    this->reports.insert_or_assign(server, std::move(report));
    this->changed = true;
}

void fleet_controller::on_outcome(const server_id& server, bool succeeded)
{
    const absl::MutexLock lock{&this->mutex};
    if (this->servers.find(server.str()) == nullptr)
    {
        return;
    }
    auto& tracker =
        this->health.try_emplace(server, this->settings).first->second;
    const bool was_proven = tracker.confirmed_healthy();
    tracker.on_outcome(succeeded);
    this->changed |= !succeeded || tracker.confirmed_healthy() != was_proven;
}

void fleet_controller::on_listing(const server_id& server, listing reading)
{
    const absl::MutexLock lock{&this->mutex};
    if (this->servers.find(server.str()) == nullptr)
    {
        return;
    }
    auto& tracker =
        this->health.try_emplace(server, this->settings).first->second;
    this->changed |= tracker.on_listing(reading);
}

void fleet_controller::publish_changes()
{
    const absl::MutexLock lock{&this->mutex};
    if (this->changed)
    {
        this->publish();
    }
}

std::vector<mark_record>
fleet_controller::export_marks(revision newer_than) const
{
    const absl::MutexLock lock{&this->mutex};
    std::vector<mark_record> exported;
    for (const auto& [server, state] : this->marks)
    {
        if (state.version > newer_than)
        {
            exported.push_back({server_id{server}, state.mark, state.version});
        }
    }
    return exported;
}

void fleet_controller::adopt_marks(const std::vector<mark_record>& marks)
{
    const absl::MutexLock lock{&this->mutex};
    bool adopted = false;
    for (const auto& record : marks)
    {
        // Marks up to this position are already applied or superseded.
        if (!this->position.covers(record.version))
        {
            adopted |= this->set_mark(
                record.server.str(), {record.mark, record.version});
        }
    }
    if (adopted)
    {
        this->publish();
    }
}

apply_counters fleet_controller::counters() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->counts;
}

void fleet_controller::apply(const store_event& event)
{
    if (event.what == store_event::change::removed)
    {
        this->apply_removed(event.object);
        return;
    }
    this->apply_written(event.object);
}

void fleet_controller::apply_written(const stored_object& object)
{
    const auto& [kind, name] = object.key;
    if (kind == server_kind)
    {
        this->write(this->servers, object, decode_server(name, object.value));
    }
    else if (kind == model_kind)
    {
        this->write(this->models, object, decode_model(name, object.value));
    }
    else if (kind == link_kind)
    {
        this->write(this->links, object, decode_link(name, object.value));
    }
    else if (kind == mark_kind)
    {
        const auto decoded = decode_mark(object.value, object.version);
        if (!decoded)
        {
            this->reject(object);
            return;
        }
        const auto mark = decoded.value().entry.value_or(server_mark::serving);
        this->changed |= this->set_mark(name, {mark, object.version});
    }
}

void fleet_controller::apply_removed(const stored_object& object)
{
    const auto& [kind, name] = object.key;
    if (kind == server_kind && this->servers.remove(name, object.version))
    {
        this->reports.erase(server_id{name});
        this->health.erase(server_id{name});
        this->changed = true;
    }
    else if (kind == model_kind)
    {
        this->changed |= this->models.remove(name, object.version);
    }
    else if (kind == link_kind)
    {
        this->changed |= this->links.remove(name, object.version);
    }
    else if (kind == mark_kind)
    {
        // The entry is kept with the version of the removal, so that an older
        // mark from a peer cannot restore it.
        this->changed |=
            this->set_mark(name, {server_mark::serving, object.version});
    }
}

void fleet_controller::retain_objects_of(const store_snapshot& snapshot)
{
    std::map<std::string, absl::flat_hash_set<std::string>> present;
    for (const auto& object : snapshot.objects)
    {
        present[object.key.kind].insert(object.key.name);
    }
    this->servers.retain(present[server_kind], snapshot.version);
    this->models.retain(present[model_kind], snapshot.version);
    this->links.retain(present[link_kind], snapshot.version);
    const auto& marked = present[mark_kind];
    std::erase_if(
        this->marks,
        [&](const auto& item)
        {
            return !marked.contains(item.first) &&
                   item.second.version <= snapshot.version;
        });
    const auto is_gone = [&](const auto& item)
    {
        return !present[server_kind].contains(item.first.str());
    };
    absl::erase_if(this->reports, is_gone);
    absl::erase_if(this->health, is_gone);
}

bool fleet_controller::set_mark(const std::string& server, mark_state next)
{
    auto& held = this->marks[server];
    if (held.version >= next.version)
    {
        return false;
    }
    held = next;
    return true;
}

void fleet_controller::reject(const stored_object& object)
{
    ++this->counts.malformed_objects;
    log::error(
        log::channel::control,
        "{}/{} at version {} is malformed; keeping the last valid version",
        object.key.kind,
        object.key.name,
        object.version.value());
}

template <class Value>
void fleet_controller::write(
    object_table<Value>& table,
    const stored_object& object,
    const result<Value>& decoded)
{
    if (!decoded)
    {
        table.reject(object.key.name, object.version);
        this->reject(object);
        return;
    }
    this->changed |=
        table.write(object.key.name, decoded.value(), object.version);
}

server_mark fleet_controller::effective_mark(
    const server_id& server, bool has_work_ready) const
{
    const auto marked = this->marks.find(server.str());
    const auto tracked = this->health.find(server);
    const bool known = tracked != this->health.end();
    const bool listed_as_leaving = known && tracked->second.listed_as_leaving();
    if (marked == this->marks.end())
    {
        return listed_as_leaving ? server_mark::leaving : server_mark::serving;
    }
    if (marked->second.mark != server_mark::joining)
    {
        return marked->second.mark;
    }
    const bool ready = known && tracked->second.confirmed_healthy() &&
                       has_work_ready && !listed_as_leaving;
    return ready ? server_mark::serving : server_mark::joining;
}

bool fleet_controller::is_healthy(const server_id& server) const
{
    const auto tracked = this->health.find(server);
    return tracked == this->health.end() || tracked->second.healthy();
}

engine fleet_controller::build(engine server) const
{
    const auto report = this->reports.find(server.id);
    if (report != this->reports.end())
    {
        server.role = report->second.role;
        server.holdings = report->second.holdings;
        server.load = report->second.load;
    }
    server.mark = this->effective_mark(server.id, !server.holdings.empty());
    server.healthy = this->is_healthy(server.id);
    return server;
}

service_server fleet_controller::build(service_server server) const
{
    server.mark = this->effective_mark(server.id, true);
    server.healthy = this->is_healthy(server.id);
    return server;
}

void fleet_controller::publish()
{
    auto next = std::make_shared<fleet_snapshot>();
    next->version = this->position.current();
    for (const auto& [id, held] : this->servers.all())
    {
        if (!held.value)
        {
            continue;
        }
        if (const auto* stage = std::get_if<engine>(&*held.value))
        {
            next->engines.push_back(this->build(*stage));
        }
        else
        {
            next->services.push_back(
                this->build(std::get<service_server>(*held.value)));
        }
    }
    for (const auto& [id, held] : this->models.all())
    {
        if (held.value)
        {
            next->models.push_back(*held.value);
        }
    }
    for (const auto& [name, held] : this->links.all())
    {
        if (held.value)
        {
            next->links.push_back(*held.value);
        }
    }
    this->changed = false;
    this->cell.publish(std::move(next));
}

} // namespace fireflysail
