#include "backend/answer_checker.hpp"

#include "common/invariant.hpp"

#include <algorithm>

namespace fireflysail
{

answer_checker::answer_checker(const generate_request& request)
    : request{request.request}
    , attempt{request.attempt}
    , stages{request.stages}
    , next_index{request.from}
{
    layer_index covered{0};
    for (const auto& stage : this->stages)
    {
        ensure(
            stage.layers.first == covered && stage.layers.last > covered,
            "a pipeline covers its layers once and in order");
        covered = stage.layers.last;
    }
}

bool answer_checker::is_own(
    const request_id& other_request, const attempt_id& other_attempt) const
{
    return other_request == this->request && other_attempt == this->attempt;
}

token_index answer_checker::next() const
{
    return this->next_index;
}

bool answer_checker::layers_match(
    const std::vector<executed_range>& executed) const
{
    return std::ranges::equal(
        executed,
        this->stages,
        [](const executed_range& ran, const stage_address& stage)
        {
            return ran.server == stage.server && ran.layers == stage.layers;
        });
}

event_verdict answer_checker::check(const token_event& event)
{
    if (!this->is_own(event.request, event.attempt))
    {
        return event_verdict::foreign;
    }
    if (event.index < this->next_index)
    {
        return event_verdict::repeated;
    }
    if (event.index > this->next_index)
    {
        return event_verdict::gap;
    }
    if (!this->layers_match(event.executed))
    {
        return event_verdict::wrong_layers;
    }
    this->next_index = this->next_index.next();
    return event_verdict::accepted;
}

} // namespace fireflysail
