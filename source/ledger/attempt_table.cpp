#include "ledger/attempt_table.hpp"

#include "common/invariant.hpp"

namespace fireflysail
{

attempt_table::attempt_table(std::size_t capacity)
    : capacity{capacity}
{
}

enter_result attempt_table::enter(
    const claim_key& key, const fingerprint& content, const attempt_id& attempt)
{
    if (const auto busy = this->by_key.find(key); busy != this->by_key.end())
    {
        const state& other = this->attempts.at(busy->second);
        if (other.current_phase == phase::finished)
        {
            return send_in_flight{other.content, other.outcome};
        }
        return send_in_flight{other.content, claimant_running{}};
    }
    if (this->attempts.size() >= this->capacity)
    {
        return table_full{};
    }
    const bool added =
        this->attempts.emplace(attempt, state{key, content, {}, {}}).second;
    ensure(added, "attempt ids are unique");
    this->by_key.emplace(key, attempt);
    return send_entered{};
}

bool attempt_table::begin_dispatch(const attempt_id& attempt)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end())
    {
        return false;
    }
    ensure(
        found->second.current_phase == phase::claiming,
        "an attempt is dispatched at most once");
    found->second.current_phase = phase::dispatched;
    return true;
}

void attempt_table::finish(
    const attempt_id& attempt,
    entry_state state,
    const stored_response& response)
{
    const auto found = this->attempts.find(attempt);
    ensure(
        found != this->attempts.end() &&
            found->second.current_phase != phase::claiming,
        "only a dispatched attempt has an outcome");
    found->second.current_phase = phase::finished;
    found->second.outcome = {state, response};
}

void attempt_table::forget(const attempt_id& attempt)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end())
    {
        return;
    }
    this->by_key.erase(found->second.key);
    this->attempts.erase(found);
}

claimant_answer attempt_table::answer_inquiry(const attempt_id& attempt)
{
    const auto found = this->attempts.find(attempt);
    if (found == this->attempts.end())
    {
        return claimant_disowned{false};
    }
    switch (found->second.current_phase)
    {
    case phase::claiming:
        this->forget(attempt);
        return claimant_disowned{true};
    case phase::dispatched:
        return claimant_running{};
    case phase::finished:
        break;
    }
    return found->second.outcome;
}

std::size_t attempt_table::size() const
{
    return this->attempts.size();
}

} // namespace fireflysail
