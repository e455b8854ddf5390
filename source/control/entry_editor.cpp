#include "control/entry_editor.hpp"

#include "common/error.hpp"
#include "control/edit_history.hpp"
#include "control/entry_reader.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

using nlohmann::json;

void validate_request(
    const edit_request& request, std::vector<mistake>& mistakes)
{
    if (!is_identifier(request.id.str()))
    {
        mistakes.push_back(
            {"edit_id", "must be 1 to 128 characters of [A-Za-z0-9._-]"});
    }
    if (request.user.empty())
    {
        mistakes.push_back({"user", "is missing"});
    }
    if (request.office.empty())
    {
        mistakes.push_back({"office", "is missing"});
    }
}

} // namespace

/// State of one edit while it is being applied.
struct entry_editor::edit
{
    entry_kind kind = entry_kind::plan;
    std::string name;
    /// Empty for a removal.
    std::optional<json> entry;
    const edit_request& request;
    time_point deadline;
    /// True if a write of this edit may still reach the store, sent by this
    /// call or an earlier one.
    bool may_be_in_flight = false;
    bool validated = false;
    /// The reason reported if the edit is not accepted: the error of the last
    /// write, errc::conflict if the store returned a version older than
    /// `based_on`, or errc::unavailable if no attempt reached its write.
    std::error_code reason = errc::unavailable;
};

struct entry_editor::stored_state
{
    /// Empty when the store has no such object.
    std::optional<stored_object> raw;
    /// Default when the object is absent or malformed.
    entry_object object;
    bool is_malformed = false;

    revision version() const
    {
        return this->raw ? this->raw->version : revision{};
    }
};

entry_editor::entry_editor(
    store& objects, const clock& time, editor_settings settings)
    : objects{objects}
    , time{time}
    , settings{settings}
    , trail{objects}
    , checks{objects}
{
}

edit_outcome entry_editor::set(
    entry_kind kind,
    const std::string& name,
    std::string_view document,
    const edit_request& request)
{
    std::vector<mistake> mistakes;
    auto entry = parse_entry(kind, name, document, mistakes);
    validate_request(request, mistakes);
    if (!mistakes.empty())
    {
        return edit_rejected{std::move(mistakes)};
    }
    edit pending{kind, name, std::move(entry), request, {}};
    return this->run(pending);
}

edit_outcome entry_editor::remove(
    entry_kind kind, const std::string& name, const edit_request& request)
{
    std::vector<mistake> mistakes;
    validate_request(request, mistakes);
    if (!is_identifier(name))
    {
        mistakes.push_back(
            {"name", "must be 1 to 128 characters of [A-Za-z0-9._-]"});
    }
    if (request.based_on == revision{})
    {
        mistakes.push_back({"based_on", "must be the version to remove"});
    }
    if (!mistakes.empty())
    {
        return edit_rejected{std::move(mistakes)};
    }
    edit pending{kind, name, std::nullopt, request, {}};
    return this->run(pending);
}

edit_outcome entry_editor::run(edit& pending)
{
    pending.deadline = this->time.now() + this->settings.edit_timeout;
    pending.may_be_in_flight = !pending.request.first_attempt;
    for (int attempt = 0; attempt < this->settings.max_attempts &&
                          this->time.now() < pending.deadline;
         ++attempt)
    {
        if (auto outcome = this->run_attempt(pending))
        {
            return *std::move(outcome);
        }
    }
    return this->failure_outcome(pending);
}

std::optional<edit_outcome> entry_editor::run_attempt(edit& pending)
{
    const auto loaded = this->load(pending);
    if (!loaded)
    {
        return std::nullopt;
    }
    const auto& current = loaded.value();
    if (auto outcome = this->resolve_by_edit_id(pending, current))
    {
        return outcome;
    }
    if (auto outcome = this->detect_conflict(pending, current))
    {
        return outcome;
    }
    if (auto outcome = this->validate(pending))
    {
        return outcome;
    }
    return this->write(pending, current);
}

std::optional<edit_outcome> entry_editor::resolve_by_edit_id(
    const edit& pending, const stored_state& current)
{
    const auto& object = current.object;
    if (object.last_edit.id == pending.request.id)
    {
        if (object.entry != pending.entry)
        {
            return edit_rejected{
                {{"edit_id", "was used for a different edit"}}};
        }
        return this->accept(pending, object.last_edit);
    }
    const auto earlier = std::ranges::find(
        object.earlier_edits, pending.request.id, &edit_record::id);
    if (earlier != object.earlier_edits.end())
    {
        return this->accept(pending, *earlier);
    }
    const bool may_be_forgotten =
        pending.may_be_in_flight && current.raw &&
        !has_successor_of(
            object, pending.request.based_on.value_or(revision{}));
    if (!may_be_forgotten)
    {
        return std::nullopt;
    }
    // An edit is appended to the audit trail before it is dropped from the
    // entry's history.
    const auto recorded = this->trail.find(
        pending.kind,
        pending.name,
        pending.request.id,
        this->call_deadline(pending));
    if (!recorded)
    {
        return edit_unknown{};
    }
    if (recorded.value())
    {
        return edit_accepted{*recorded.value()};
    }
    return std::nullopt;
}

std::optional<edit_outcome>
entry_editor::detect_conflict(const edit& pending, const stored_state& current)
{
    const auto& based_on = pending.request.based_on;
    if (!based_on)
    {
        return std::nullopt;
    }
    if (*based_on != revision{} && !current.raw)
    {
        return pending.may_be_in_flight ? edit_outcome{edit_unknown{}}
                                        : edit_outcome{edit_conflict{"null"}};
    }
    const bool exists = current.raw && current.object.entry;
    const bool has_changed = *based_on == revision{}
                                 ? exists || current.is_malformed
                                 : current.version() > *based_on;
    if (!has_changed)
    {
        return std::nullopt;
    }
    return edit_conflict{render_entry(pending.kind, *current.raw).dump()};
}

std::optional<edit_outcome> entry_editor::validate(edit& pending)
{
    if (pending.validated)
    {
        return std::nullopt;
    }
    const auto mistakes = this->checks.find_mistakes(
        {pending.kind,
         pending.name,
         pending.entry,
         this->call_deadline(pending)});
    if (!mistakes)
    {
        return this->failure_outcome(pending);
    }
    if (mistakes.value().empty())
    {
        pending.validated = true;
        return std::nullopt;
    }
    if (pending.may_be_in_flight)
    {
        return edit_unknown{mistakes.value()};
    }
    return edit_rejected{mistakes.value()};
}

std::optional<edit_outcome>
entry_editor::write(edit& pending, const stored_state& current)
{
    if (current.version() < pending.request.based_on.value_or(revision{}))
    {
        // The read was stale, or `based_on` is a version that never existed.
        pending.reason = errc::conflict;
        return std::nullopt;
    }
    if (!pending.entry && !current.object.entry && !current.is_malformed)
    {
        return edit_rejected{{{"name", "no such entry"}}};
    }
    edit_record record{
        pending.request.id,
        pending.request.user,
        pending.request.office,
        this->time.wall_now(),
        current.version(),
        revision{},
        !pending.entry};
    auto next =
        with_edit(current.object, current.version(), record, pending.entry);
    if (!this->trim_history(pending, next))
    {
        return this->failure_outcome(pending);
    }
    const auto key = key_of(pending.kind, pending.name);
    const auto deadline = this->call_deadline(pending);
    const auto written =
        current.raw ? this->objects.update(
                          key, encode(next), current.version(), deadline)
                    : this->objects.create(key, encode(next), deadline);
    if (written)
    {
        record.version = written.value();
        return this->accept(pending, record);
    }
    pending.reason = written.error();
    pending.may_be_in_flight |= written.error() == errc::unknown_effect;
    return std::nullopt;
}

edit_outcome
entry_editor::accept(const edit& pending, const edit_record& record)
{
    // If the record cannot be appended now, the entry keeps it in its history
    // until a later append succeeds.
    this->trail.append(
        pending.kind, pending.name, record, this->call_deadline(pending));
    return edit_accepted{record.version};
}

edit_outcome entry_editor::failure_outcome(const edit& pending) const
{
    if (pending.may_be_in_flight)
    {
        return edit_unknown{};
    }
    return edit_not_accepted{pending.reason};
}

result<entry_editor::stored_state> entry_editor::load(const edit& pending)
{
    auto read = this->objects.get(
        key_of(pending.kind, pending.name), this->call_deadline(pending));
    if (!read)
    {
        if (read.error() == errc::not_found)
        {
            return stored_state{};
        }
        return read.error();
    }
    stored_state state{std::move(read.value()), {}, false};
    auto decoded = decode_entry(
        pending.kind, pending.name, state.raw->value, state.raw->version);
    state.is_malformed = !decoded;
    if (decoded)
    {
        state.object = std::move(decoded.value());
    }
    return state;
}

bool entry_editor::trim_history(const edit& pending, entry_object& next)
{
    auto& history = next.earlier_edits;
    while (history.size() > this->settings.history_length)
    {
        const bool recorded = this->trail.append(
            pending.kind,
            pending.name,
            history.front(),
            this->call_deadline(pending));
        if (!recorded)
        {
            break;
        }
        history.erase(history.begin());
    }
    return history.size() <= this->settings.max_history_length;
}

time_point entry_editor::call_deadline(const edit& pending) const
{
    return std::min(
        pending.deadline, this->time.now() + this->settings.call_timeout);
}

} // namespace fireflysail
