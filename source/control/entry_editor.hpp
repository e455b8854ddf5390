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

/// Who edits, and on what ground.
struct edit_request
{
    /// Chosen by the operator's client; the same for every resend.
    edit_id id;
    std::string user;
    office_id office;
    /// Version of the entry that the operator saw, zero for none. Empty: the
    /// edit holds whatever the entry is (marks).
    std::optional<revision> based_on;
    /// The client has never sent this id before. Without it a failed edit may
    /// have been accepted earlier, and is answered as unknown.
    bool first_attempt = false;
};

struct editor_settings
{
    duration call_timeout = std::chrono::milliseconds{800};
    duration edit_timeout = std::chrono::milliseconds{2500};
    /// Conditional writes tried for one edit.
    int max_attempts = 4;
    /// Edits that an entry remembers before the oldest is left to the audit
    /// trail alone.
    std::size_t history_length = 8;
    /// Edits that an entry remembers while the audit trail cannot be written.
    std::size_t max_history_length = 64;
};

/// Edits the two lists and the marks through the store. An edit is accepted
/// only when a conditional write of it is confirmed; a lost answer is resolved
/// by looking for its edit id. Thread-safe; calls block on the store.
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
