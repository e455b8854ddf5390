#pragma once

#include "ledger/claim_messages.hpp"
#include "ledger/ledger_entry.hpp"

#include <compare>
#include <cstddef>
#include <map>
#include <variant>

namespace fireflysail
{

// What a send meets when it enters the table.

struct send_entered
{
};

/// Another send of the same request is in flight here.
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
/// have an outcome that the store does not have yet. An attempt that is not in
/// it can no longer be dispatched; that is what makes this instance's word on
/// an attempt final. Pure and not safe to use from several threads by itself.
class attempt_table
{
public:
    explicit attempt_table(std::size_t capacity);

    /// To be called before the attempt's first write is sent.
    enter_result enter(
        const claim_key& key,
        const fingerprint& content,
        const attempt_id& attempt);

    /// Marks the attempt as dispatched; false if it was disowned.
    bool begin_dispatch(const attempt_id& attempt);

    /// Keeps the outcome of a dispatched attempt until it is settled.
    void finish(
        const attempt_id& attempt,
        entry_state state,
        const stored_response& response);

    /// Forgets an attempt that will not be dispatched any more, had no effect,
    /// or whose outcome stands in the store.
    void forget(const attempt_id& attempt);

    /// Answers another instance's question about an attempt. An attempt not
    /// dispatched by now can't be from now on.
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
