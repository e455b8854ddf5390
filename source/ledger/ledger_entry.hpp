#pragma once

#include "common/identifiers.hpp"

#include <compare>
#include <string>

namespace fireflysail
{

/// Names a request that may not be repeated; resends of it carry the same key.
struct claim_key
{
    workspace_id workspace;
    idempotency_key key;

    auto operator<=>(const claim_key&) const = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, const claim_key& id)
    {
        return Hash::combine(std::move(state), id.workspace, id.key);
    }
};

enum class entry_state
{
    /// The claimant may dispatch, may have dispatched, or gave up.
    claimed,
    /// The service answered; the answer is kept for replay.
    completed,
    /// Dispatched without an answer: whether it ran is not known.
    unknown,
};

/// A service's answer, as kept for replay.
struct stored_response
{
    int status = 0;
    std::string content_type;
    std::string body;
    /// False if the body was too long to keep.
    bool complete = true;

    auto operator<=>(const stored_response&) const = default;
};

/// What the store holds under a claim_key.
struct ledger_entry
{
    claim_key key;
    /// Of the request; a resend with other content is refused.
    fingerprint content;
    /// Unique to one send through one instance.
    attempt_id attempt;
    /// Unique to one life of the instance.
    instance_id claimant;
    entry_state state = entry_state::claimed;
    /// Meaningful when completed.
    stored_response response;

    auto operator<=>(const ledger_entry&) const = default;
};

struct versioned_entry
{
    ledger_entry entry;
    revision version;

    auto operator<=>(const versioned_entry&) const = default;
};

} // namespace fireflysail
