#pragma once

#include "blackboard/peers.hpp"
#include "common/clock.hpp"
#include "common/result.hpp"
#include "common/snapshot_cell.hpp"
#include "ledger/at_most_once_executor.hpp"
#include "peer/peer_dispatcher.hpp"
#include "peer/rpc_client.hpp"

#include <string>
#include <string_view>

namespace fireflysail
{

/// A question to the claimant of an attempt.
struct claim_question
{
    /// The life of the instance that made the claim.
    instance_id claimant;
    attempt_id attempt;
};

std::string encode(const claim_question& question);

/// errc::malformed.
result<claim_question> decode_claim_question(std::string_view text);

std::string encode(const claimant_answer& answer);

/// errc::malformed.
result<claimant_answer> decode_claimant_answer(std::string_view text);

/// Asks other instances about their attempts over JSON-RPC.
class peer_inquiry final : public claimant_inquiry
{
public:
    peer_inquiry(
        const clock& time,
        rpc_client& client,
        const snapshot_cell<peers_snapshot>& peers);

    claimant_answer
    ask(const instance_id& claimant,
        const attempt_id& attempt,
        time_point deadline) override;

private:
    const clock& time;
    rpc_client& client;
    const snapshot_cell<peers_snapshot>& peers;
};

/// Answers the questions of other instances. Only the very life of the
/// instance that made a claim can vouch for it: its successor at the same
/// address answers errc::not_found.
void add_claim_handler(
    peer_dispatcher& dispatcher,
    const instance_id& self,
    at_most_once_executor& ledger);

} // namespace fireflysail
