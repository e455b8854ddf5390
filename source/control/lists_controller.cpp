#include "control/lists_controller.hpp"

#include "common/error.hpp"
#include "common/hash.hpp"
#include "common/log.hpp"
#include "control/lists_codec.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace fireflysail
{

namespace
{

template <class Entry>
std::size_t count_values(const object_table<Entry>& table)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        table.all(),
        [](const auto& item)
        {
            return item.second.value.has_value();
        }));
}

template <class Entry>
std::size_t count_rejected(const object_table<Entry>& table)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        table.all(),
        [](const auto& item)
        {
            return item.second.rejected.has_value();
        }));
}

template <class Entry>
std::uint64_t digest_of(const object_table<Entry>& table, std::uint64_t seed)
{
    std::uint64_t digest = seed;
    for (const auto& [name, slot] : table.all())
    {
        if (slot.value)
        {
            digest = stable_hash(name, digest);
            digest = stable_hash(to_json(*slot.value).dump(), digest);
            digest = stable_hash(std::to_string(slot.version.value()), digest);
        }
    }
    return digest;
}

/// Returns the names of the snapshot's objects of one kind.
absl::flat_hash_set<std::string>
names_of(const store_snapshot& snapshot, std::string_view kind)
{
    absl::flat_hash_set<std::string> names;
    for (const auto& object : snapshot.objects)
    {
        if (object.key.kind == kind)
        {
            names.insert(object.key.name);
        }
    }
    return names;
}

/// Copies the values in force on this instance into `newer` for objects that
/// are only malformed there.
template <class Entry>
void restore_valid_values(
    object_table<Entry>& newer, const object_table<Entry>& current)
{
    newer.repair_from(current, revision{~revision::rep{0}});
}

} // namespace

std::string to_json_text(const lists_status& status)
{
    return nlohmann::json{
        {"applied", status.applied.value()},
        {"digest", fmt::format("{:016x}", status.digest)},
        {"plans", status.plans},
        {"entitlements", status.entitlements},
        {"workspaces_without_entitlement",
         status.workspaces_without_entitlement},
        {"malformed_now", status.malformed_now},
        {"malformed_objects", status.counters.malformed_objects},
        {"stale_snapshots", status.counters.stale_snapshots},
        {"repeated_events", status.counters.repeated_events}}
        .dump();
}

lists_controller::lists_controller(snapshot_cell<lists_snapshot>& cell)
    : cell{cell}
{
}

std::vector<std::string> lists_controller::kinds() const
{
    return store_kinds();
}

std::vector<std::string> lists_controller::store_kinds()
{
    return {plan_kind, entitlement_kind};
}

void lists_controller::on_snapshot(const store_snapshot& snapshot)
{
    const absl::MutexLock lock{&this->mutex};
    if (snapshot.version < this->position.current())
    {
        ++this->counts.stale_snapshots;
        return;
    }
    for (const auto& object : snapshot.objects)
    {
        this->apply_written(object);
    }
    this->changed |= this->lists.plans.retain(
        names_of(snapshot, plan_kind), snapshot.version);
    this->changed |= this->lists.entitlements.retain(
        names_of(snapshot, entitlement_kind), snapshot.version);
    this->position.advance_to(snapshot.version);
    this->publish();
}

void lists_controller::on_events(const watch_batch& batch)
{
    const absl::MutexLock lock{&this->mutex};
    const auto position_before = this->position;
    for (const auto& event : batch.events)
    {
        if (position_before.covers(event.object.version))
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

std::string lists_controller::export_for_peer() const
{
    const absl::MutexLock lock{&this->mutex};
    auto exported = this->lists;
    exported.applied = this->position.current();
    return encode(exported);
}

result<adoption> lists_controller::adopt_from_peer(std::string_view document)
{
    auto decoded = decode_lists_transfer(document);
    if (!decoded)
    {
        return decoded.error();
    }
    const absl::MutexLock lock{&this->mutex};
    if (decoded.value().applied > this->position.current())
    {
        this->adopt(std::move(decoded.value()));
        return adoption::adopted;
    }
    const auto& peer = decoded.value();
    const bool plans_repaired =
        this->lists.plans.repair_from(peer.plans, peer.applied);
    const bool entitlements_repaired =
        this->lists.entitlements.repair_from(peer.entitlements, peer.applied);
    if (!plans_repaired && !entitlements_repaired)
    {
        return adoption::not_newer;
    }
    this->publish();
    return adoption::adopted;
}

lists_status lists_controller::status() const
{
    const absl::MutexLock lock{&this->mutex};
    lists_status summary;
    summary.applied = this->position.current();
    summary.digest =
        digest_of(this->lists.entitlements, digest_of(this->lists.plans, 0));
    summary.plans = count_values(this->lists.plans);
    summary.entitlements = count_values(this->lists.entitlements);
    summary.workspaces_without_entitlement =
        static_cast<std::size_t>(std::ranges::count_if(
            this->lists.plans.all(),
            [this](const auto& item)
            {
                this->mutex.AssertReaderHeld();
                const auto& entry = item.second.value;
                return entry && this->lists.entitlements.find(
                                    entry->plan.str()) == nullptr;
            }));
    summary.malformed_now = count_rejected(this->lists.plans) +
                            count_rejected(this->lists.entitlements);
    summary.counters = this->counts;
    return summary;
}

void lists_controller::apply(const store_event& event)
{
    if (event.what == store_event::change::written)
    {
        this->apply_written(event.object);
        return;
    }
    const auto& [kind, name] = event.object.key;
    if (kind == plan_kind)
    {
        this->changed |= this->lists.plans.remove(name, event.object.version);
    }
    else if (kind == entitlement_kind)
    {
        this->changed |=
            this->lists.entitlements.remove(name, event.object.version);
    }
}

void lists_controller::apply_written(const stored_object& object)
{
    const auto& [kind, name] = object.key;
    if (kind == plan_kind)
    {
        this->write(
            this->lists.plans,
            object,
            decode_plan(name, object.value, object.version));
    }
    else if (kind == entitlement_kind)
    {
        this->write(
            this->lists.entitlements,
            object,
            decode_entitlement(name, object.value, object.version));
    }
}

template <class Entry, class Decoded>
void lists_controller::write(
    object_table<Entry>& table,
    const stored_object& object,
    const Decoded& decoded)
{
    if (!decoded)
    {
        table.reject(object.key.name, object.version);
        ++this->counts.malformed_objects;
        log::error(
            log::channel::control,
            "{}/{} at version {} is malformed; keeping the last valid version",
            object.key.kind,
            object.key.name,
            object.version.value());
        return;
    }
    const auto& entry = decoded.value().entry;
    this->changed |= entry
                         ? table.write(object.key.name, *entry, object.version)
                         : table.remove(object.key.name, object.version);
}

void lists_controller::adopt(lists_transfer newer)
{
    restore_valid_values(newer.plans, this->lists.plans);
    restore_valid_values(newer.entitlements, this->lists.entitlements);
    this->position.advance_to(newer.applied);
    this->lists = std::move(newer);
    this->publish();
}

void lists_controller::publish()
{
    auto next = std::make_shared<lists_snapshot>();
    next->version = this->position.current();
    for (const auto& [name, slot] : this->lists.plans.all())
    {
        if (slot.value)
        {
            next->plans.emplace(slot.value->workspace, *slot.value);
        }
    }
    for (const auto& [name, slot] : this->lists.entitlements.all())
    {
        if (slot.value)
        {
            next->entitlements.emplace(slot.value->plan, *slot.value);
        }
    }
    for (const auto& [name, slot] : this->lists.plans.all())
    {
        if (!slot.value)
        {
            continue;
        }
        for (const auto& digest : slot.value->key_digests)
        {
            const auto [owner, is_new] =
                next->workspace_by_key_digest.try_emplace(
                    digest, slot.value->workspace);
            // If concurrent edits assigned the digest to two workspaces, the
            // entry with the lower version owns it, so that all instances
            // agree.
            if (!is_new && slot.version < next->plans.at(owner->second).version)
            {
                owner->second = slot.value->workspace;
            }
        }
    }
    this->changed = false;
    this->cell.publish(std::move(next));
}

} // namespace fireflysail
