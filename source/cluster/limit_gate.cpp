#include "cluster/limit_gate.hpp"

#include <algorithm>
#include <thread>
#include <utility>

namespace fireflysail
{

namespace
{

// Covers the message to an owner and its reply with room for one retry; a
// request that finds its plan used up is refused after this.
constexpr std::chrono::milliseconds longest_wait{400};

// An instance without any share of the plan cannot tell that it is used up: it
// waits for a new owner, which takes over within this time of the old one's
// death.
constexpr std::chrono::milliseconds longest_wait_for_owner{8'000};
constexpr std::chrono::milliseconds longest_pause{20};
constexpr std::chrono::milliseconds shortest_pause{1};

} // namespace

limit_gate::hold::hold(
    limit_client& limits,
    const clock& time,
    workspace_id workspace,
    token_count charged)
    : limits{limits}
    , time{time}
    , workspace{std::move(workspace)}
    , charged{charged}
{
}

limit_gate::hold::~hold()
{
    this->limits.finish(this->workspace, this->time.now());
}

void limit_gate::hold::used(token_count tokens)
{
    if (tokens < this->charged)
    {
        this->limits.give_back(
            this->workspace,
            token_count{this->charged.value() - tokens.value()},
            this->time.now());
    }
    this->charged = token_count{0};
}

limit_gate::limit_gate(limit_client& limits, const clock& time)
    : limits{limits}
    , time{time}
{
}

limit_gate::entrance limit_gate::enter(
    const workspace_id& workspace,
    token_count cost,
    time_point deadline,
    const caller_presence& present)
{
    const auto begin = this->time.now();
    auto attempt = attempt_kind::first;
    while (true)
    {
        const auto now = this->time.now();
        const auto answer =
            this->limits.try_acquire(workspace, cost, now, attempt);
        const auto* refusal = std::get_if<limit_refused>(&answer);
        if (refusal == nullptr)
        {
            return std::make_unique<hold>(
                this->limits, this->time, workspace, cost);
        }
        if (!present())
        {
            return did_not_run{did_not_run_reason::cancelled, {}};
        }
        const auto patience =
            refusal->holds_share ? longest_wait : longest_wait_for_owner;
        if (now >= std::min(deadline, begin + patience))
        {
            return did_not_run{
                did_not_run_reason::over_plan, refusal->retry_after};
        }
        attempt = attempt_kind::repeated;
        std::this_thread::sleep_for(std::clamp<duration>(
            refusal->retry_after, shortest_pause, longest_pause));
    }
}

} // namespace fireflysail
