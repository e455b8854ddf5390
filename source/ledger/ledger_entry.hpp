#pragma once

#include "common/identifiers.hpp"

#include <compare>
#include <string>

namespace fireflysail
{

/// Identifies a request that must not run more than once. Every resend of the
/// request uses the same key.
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
    /// The claimant may still dispatch the request, has dispatched it, or has
    /// given up.
    claimed,
    /// The service answered. The response is stored for replay.
    completed,
    /// Dispatched, but no answer arrived: the request may or may not have run.
    unknown,
};

/// A service's response, stored for replay.
struct stored_response
{
    int status = 0;
    std::string content_type;
    std::string body;
    /// False if the body was too long to be stored.
    bool complete = true;

    auto operator<=>(const stored_response&) const = default;
};

/// The value that the store holds under a claim_key.
struct ledger_entry
{
    claim_key key;
    /// Fingerprint of the request. A resend with different content is refused.
    fingerprint content;
    /// Unique per send and instance.
    attempt_id attempt;
    /// Instance that made the claim. The id is unique to one incarnation of the
    /// instance: it changes with each restart.
    instance_id claimant;
    entry_state state = entry_state::claimed;
    /// Valid only in state `completed`.
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
