#pragma once

#include "common/clock.hpp"
#include "common/result.hpp"
#include "control/audit_trail.hpp"
#include "control/edit_checks.hpp"
#include "control/edit_outcome.hpp"
#include "control/entry_kind.hpp"
#include "store/store.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// Id of an edit, its author and the version that it is based on.
struct edit_request
{
    /// Chosen by the operator's client and reused for every resend.
    edit_id id;
    std::string user;
    office_id office;
    /// Version of the entry that the operator saw; zero if there was none. If
    /// empty, the edit applies whatever the current version is (marks).
    std::optional<revision> based_on;
    /// True if the client has never sent this id before. Otherwise an earlier
    /// attempt may have been accepted, so a failed edit is reported as unknown.
    bool first_attempt = false;
};

struct editor_settings
{
    duration call_timeout = std::chrono::milliseconds{800};
    duration edit_timeout = std::chrono::milliseconds{2500};
    /// Attempts per edit, each a read and a conditional write.
    int max_attempts = 4;
    /// Earlier edits kept in an entry's history; older ones are kept only in
    /// the audit trail.
    std::size_t history_length = 8;
    /// Earlier edits kept in an entry's history while the audit trail cannot be
    /// written. Edits that would exceed this are not accepted.
    std::size_t max_history_length = 64;
};

/// Edits the two lists and the marks through the store. An edit is accepted
/// only when a conditional write of it is confirmed; if the response to a write
/// is lost, the outcome is resolved by looking up the edit id. Thread-safe;
/// calls block on the store.
class entry_editor
{
public:
    entry_editor(
        store& objects, const clock& time, editor_settings settings = {});

    edit_outcome
    set(entry_kind kind,
        const std::string& name,
        std::string_view document,
        const edit_request& request);

    edit_outcome remove(
        entry_kind kind, const std::string& name, const edit_request& request);

private:
    struct edit;
    struct stored_state;

    edit_outcome run(edit& pending);
    std::optional<edit_outcome> run_attempt(edit& pending);
    std::optional<edit_outcome>
    resolve_by_edit_id(const edit& pending, const stored_state& current);
    std::optional<edit_outcome> validate(edit& pending);
    std::optional<edit_outcome>
    detect_conflict(const edit& pending, const stored_state& current);
    std::optional<edit_outcome>
    write(edit& pending, const stored_state& current);
    edit_outcome accept(const edit& pending, const edit_record& record);
    edit_outcome failure_outcome(const edit& pending) const;

    result<stored_state> load(const edit& pending);
    bool trim_history(const edit& pending, entry_object& next);

    time_point call_deadline(const edit& pending) const;

    store& objects;
    const clock& time;
    const editor_settings settings;
    audit_trail trail;
    edit_checks checks;
};

} // namespace fireflysail
