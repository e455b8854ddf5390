#include "control/traffic_controller.hpp"

#include "common/log.hpp"
#include "common/store_era.hpp"
#include "control/fleet_builder.hpp"
#include "routing/pipeline.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

std::string_view name_of(config_reading how)
{
    switch (how)
    {
    case config_reading::listed:
        return "list";
    case config_reading::changed:
        return "watch";
    }
    return "unknown";
}

std::string_view name_of(config_verdict verdict)
{
    switch (verdict)
    {
    case config_verdict::in_force:
        return "in_force";
    case config_verdict::not_newer:
        return "not_newer";
    case config_verdict::postponed:
        return "postponed";
    case config_verdict::contested:
        return "contested";
    }
    return "unknown";
}

} // namespace

traffic_controller::traffic_controller(
    blackboard& board,
    traffic_objects objects,
    const clock& time,
    std::function<void()> on_fleet_published)
    : board{board}
    , objects{std::move(objects)}
    , time{time}
    , on_fleet_published{std::move(on_fleet_published)}
    , config{*this}
    , servers{*this}
{
}

void traffic_controller::set_config_source(
    std::function<std::string_view()> source)
{
    this->config_source = std::move(source);
}

store_consumer& traffic_controller::config_consumer()
{
    return this->config;
}

store_consumer& traffic_controller::servers_consumer()
{
    return this->servers;
}

void traffic_controller::expire_servers()
{
    const absl::MutexLock lock{&this->mutex};
    if (this->directory.expire(this->time.now()))
    {
        this->publish_fleet();
    }
}

void traffic_controller::apply_waiting_config()
{
    const absl::MutexLock lock{&this->config_mutex};
    if (!this->waiting || this->time.now() < this->configs.rewriting_ends_at())
    {
        return;
    }
    if (this->waiting->verdict == config_verdict::postponed)
    {
        const stored_object object = this->waiting->object;
        this->forget_waiting_config();
        this->apply_config(object, config_reading::changed);
        return;
    }
    if (this->board.contested.load() != this->waiting->decoded)
    {
        log::event(
            log::level::warning,
            log::channel::control,
            "config_contested",
            {{"version", this->waiting->decoded->version},
             {"revision", change_number_of(this->waiting->object.version)},
             {"era", era_of(this->waiting->object.version).value()},
             {"in_force", this->configs.version()}});
        this->board.contested.publish(this->waiting->decoded);
    }
}

void traffic_controller::forget_waiting_config()
{
    this->waiting.reset();
    this->board.contested.publish(nullptr);
}

void traffic_controller::set_lost_engines(std::vector<server_id> servers)
{
    std::ranges::sort(servers);
    const absl::MutexLock lock{&this->mutex};
    if (servers != this->lost_engines)
    {
        this->lost_engines = std::move(servers);
        this->publish_fleet();
    }
}

bool traffic_controller::set_leaving(
    const server_id& server, std::uint64_t boot)
{
    const absl::MutexLock lock{&this->mutex};
    if (!this->leaving.add(server, boot))
    {
        return false;
    }
    this->publish_fleet();
    return true;
}

std::size_t traffic_controller::leaving_count() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->leaving.size();
}

std::vector<server_entry> traffic_controller::current_entries()
{
    std::vector<server_entry> entries = this->directory.entries();
    for (server_entry& entry : entries)
    {
        if (this->leaving.on_boot(entry.id, entry.started_at_ms))
        {
            log::event(
                log::level::info,
                log::channel::control,
                "leaving_server_started_again",
                {{"server", entry.id.str()}, {"boot", entry.started_at_ms}});
        }
        if (this->leaving.contains(entry.id, entry.started_at_ms))
        {
            entry.mark = server_mark::leaving;
        }
    }
    return entries;
}

void traffic_controller::apply_engine_reports(
    const std::vector<std::pair<server_id, engine_condition>>& reports)
{
    const absl::MutexLock lock{&this->mutex};
    bool changed = false;
    for (const auto& [server, report] : reports)
    {
        changed |= this->directory.update_engine_state(
            server, report.layers, report.started_at_ms);
    }
    if (changed)
    {
        this->publish_fleet();
    }
}

void traffic_controller::record_store_contact()
{
    const absl::MutexLock lock{&this->mutex};
    this->directory.on_store_response(this->time.now());
}

bool traffic_controller::is_initialized() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->has_servers && this->board.traffic.load() != nullptr;
}

bool traffic_controller::has_server_list() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->has_servers;
}

bool traffic_controller::is_config_superseded() const
{
    return this->config_superseded;
}

void traffic_controller::apply_config(
    const stored_object& object, config_reading how)
{
    if (object.key.name != this->objects.config_name)
    {
        return;
    }
    if (this->waiting && this->waiting->object.version == object.version)
    {
        return;
    }
    const std::uint64_t replaced = this->configs.version();
    auto decoded = this->objects.decode_config(object.value);
    if (!decoded)
    {
        log::event(
            log::level::error,
            log::channel::control,
            "config_rejected",
            {{"revision", change_number_of(object.version)},
             {"era", era_of(object.version).value()},
             {"from", this->config_source()},
             {"read_by", name_of(how)},
             {"in_force", replaced},
             {"error", decoded.error().message()}});
        return;
    }
    auto next = std::make_shared<traffic_config>(std::move(decoded).value());
    next->stored_at = object.version;
    next->read_at = this->time.now();
    const auto verdict = this->configs.judge(
        object.value, next->version, object.version, how, next->read_at);
    this->config_superseded = this->configs.is_superseded();
    this->forget_waiting_config();
    if (verdict != config_verdict::in_force)
    {
        if (next->version != replaced || this->config_superseded)
        {
            log::event(
                log::level::info,
                log::channel::control,
                "config_not_newer",
                {{"version", next->version},
                 {"revision", change_number_of(object.version)},
                 {"era", era_of(object.version).value()},
                 {"from", this->config_source()},
                 {"read_by", name_of(how)},
                 {"verdict", name_of(verdict)},
                 {"in_force", replaced}});
        }
        if (verdict != config_verdict::not_newer)
        {
            this->waiting = waiting_config{object, verdict, std::move(next)};
        }
        return;
    }
    log::event(
        log::level::info,
        log::channel::control,
        "config_in_force",
        {{"version", next->version},
         {"revision", change_number_of(object.version)},
         {"era", era_of(object.version).value()},
         {"from", this->config_source()},
         {"read_by", name_of(how)},
         {"replaces", replaced},
         {"hosts", next->routes.size()},
         {"keys", next->keys.size()}});
    this->board.traffic.publish(std::move(next));
    const absl::MutexLock lock{&this->mutex};
    this->publish_fleet();
}

void traffic_controller::on_restored(time_point now)
{
    // The copy may show a server as ready that was marked as leaving since; a
    // boot that leaves does not come back.
    for (const server_entry& entry : this->directory.entries())
    {
        if (entry.mark == server_mark::leaving && entry.started_at_ms != 0)
        {
            this->leaving.add(entry.id, entry.started_at_ms);
        }
    }
    this->directory.on_store_restored(now);
}

std::optional<server_entry>
traffic_controller::decode_entry(const stored_object& object) const
{
    auto decoded =
        this->objects.decode_server(server_id{object.key.name}, object.value);
    if (!decoded)
    {
        log::event(
            log::level::warning,
            log::channel::control,
            "server_entry_unreadable",
            {{"server", object.key.name},
             {"revision", change_number_of(object.version)},
             {"bytes", object.value.size()}});
        return std::nullopt;
    }
    return std::move(decoded).value();
}

void traffic_controller::publish_fleet()
{
    const auto known = this->board.traffic.load();
    if (!known || !this->has_servers)
    {
        return;
    }
    auto fleet = std::make_shared<fleet_snapshot>(
        build_fleet(this->current_entries(), *known, this->servers_version));
    if (fleet->engines.size() == max_engine_slots)
    {
        log::event(
            log::level::warning,
            log::channel::control,
            "most_engines_listed",
            {{"engines", fleet->engines.size()},
             {"revision", change_number_of(this->servers_version)}});
    }
    for (engine& server : fleet->engines)
    {
        server.healthy =
            !std::ranges::binary_search(this->lost_engines, server.id);
    }
    this->board.fleet.publish(std::move(fleet));
    this->on_fleet_published();
}

traffic_controller::config_reader::config_reader(traffic_controller& owner)
    : owner{owner}
{
}

std::vector<std::string> traffic_controller::config_reader::kinds() const
{
    return {this->owner.objects.config_kind};
}

void traffic_controller::config_reader::on_snapshot(
    const store_snapshot& snapshot)
{
    const absl::MutexLock lock{&this->owner.config_mutex};
    for (const stored_object& object : snapshot.objects)
    {
        this->owner.apply_config(object, config_reading::listed);
    }
}

void traffic_controller::config_reader::on_events(const watch_batch& batch)
{
    const absl::MutexLock lock{&this->owner.config_mutex};
    // Only the newest version in the batch is applied.
    const stored_object* newest = nullptr;
    for (const store_event& event : batch.events)
    {
        if (event.what != store_event::change::written ||
            event.object.key.name != this->owner.objects.config_name)
        {
            continue;
        }
        if (newest != nullptr)
        {
            this->owner.configs.skip(newest->value);
        }
        newest = &event.object;
    }
    if (newest != nullptr)
    {
        this->owner.apply_config(*newest, config_reading::changed);
    }
}

traffic_controller::servers_reader::servers_reader(traffic_controller& owner)
    : owner{owner}
{
}

std::vector<std::string> traffic_controller::servers_reader::kinds() const
{
    return {this->owner.objects.servers_kind};
}

void traffic_controller::servers_reader::on_snapshot(
    const store_snapshot& snapshot)
{
    std::vector<server_entry> entries;
    for (const stored_object& object : snapshot.objects)
    {
        if (auto entry = this->owner.decode_entry(object))
        {
            entries.push_back(*std::move(entry));
        }
    }
    const absl::MutexLock lock{&this->owner.mutex};
    const time_point now = this->owner.time.now();
    this->owner.directory.on_store_response(now);
    if (this->owner.has_servers &&
        era_of(snapshot.version) > era_of(this->owner.servers_version))
    {
        this->owner.on_restored(now);
    }
    this->owner.directory.replace_all(std::move(entries), now);
    this->owner.servers_version = snapshot.version;
    this->owner.has_servers = true;
    this->owner.publish_fleet();
}

void traffic_controller::servers_reader::on_events(const watch_batch& batch)
{
    const absl::MutexLock lock{&this->owner.mutex};
    const time_point now = this->owner.time.now();
    auto& directory = this->owner.directory;
    directory.on_store_response(now);
    const auto before = directory.entries();
    for (const store_event& event : batch.events)
    {
        auto entry = event.what == store_event::change::removed
                         ? std::nullopt
                         : this->owner.decode_entry(event.object);
        if (entry)
        {
            directory.put(*std::move(entry));
        }
        else
        {
            directory.remove(server_id{event.object.key.name}, now);
        }
    }
    directory.expire(now);
    this->owner.servers_version = batch.next;
    if (directory.entries() != before)
    {
        this->owner.publish_fleet();
    }
}

} // namespace fireflysail
