#pragma once

#include "ledger/claim_messages.hpp"
#include "ledger/ledger_entry.hpp"

#include <compare>
#include <cstddef>
#include <map>
#include <variant>

namespace fireflysail
{

// Results of adding a send to the table.

struct send_entered
{
};

/// Another send of the same request is in flight on this instance.
struct send_in_flight
{
    fingerprint content;
    claimant_answer progress;
};

struct table_full
{
};

using enter_result = std::variant<send_entered, send_in_flight, table_full>;

/// The attempts of this instance that may still be dispatched, are running, or
/// have an outcome that is not yet in the store. An attempt that is not in the
/// table can no longer be dispatched, so this instance's answer to an inquiry
/// about it is final. Does no I/O and is not thread-safe.
class attempt_table
{
public:
    explicit attempt_table(std::size_t capacity);

    /// Must be called before the attempt's first write to the store is sent.
    enter_result enter(
        const claim_key& key,
        const fingerprint& content,
        const attempt_id& attempt);

    /// Marks the attempt as dispatched. Returns false if it was disowned.
    bool begin_dispatch(const attempt_id& attempt);

    /// Stores the outcome of a dispatched attempt until `forget` is called.
    void finish(
        const attempt_id& attempt,
        entry_state state,
        const stored_response& response);

    /// Removes an attempt that will not be dispatched, had no effect, or has
    /// its outcome in the store.
    void forget(const attempt_id& attempt);

    /// Answers another instance's inquiry about an attempt. An attempt that has
    /// not been dispatched yet is removed, so that it can no longer be
    /// dispatched.
    claimant_answer answer_inquiry(const attempt_id& attempt);

    std::size_t size() const;

    auto operator<=>(const attempt_table&) const = default;

private:
    enum class phase
    {
        claiming,
        dispatched,
        finished,
    };

    struct state
    {
        claim_key key;
        fingerprint content;
        phase current_phase = phase::claiming;
        claimant_finished outcome;

        auto operator<=>(const state&) const = default;
    };

    std::size_t capacity;
    std::map<attempt_id, state> attempts;
    std::map<claim_key, attempt_id> by_key;
};

} // namespace fireflysail
