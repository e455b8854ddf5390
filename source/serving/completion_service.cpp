#include "serving/completion_service.hpp"

#include "serving/completion_job.hpp"

#include <algorithm>
#include <numeric>

namespace fireflysail
{

namespace
{

/// Time for which a stream is expected to hold its slot when nothing is known
/// of the model's speed yet.
constexpr std::chrono::milliseconds assumed_token_time{20};

} // namespace

completion_service::completion_service(const parts& used)
    : used{used}
{
}

admission_gate* completion_service::gate_of(const model_id& model)
{
    const absl::MutexLock lock{&this->mutex};
    const auto found = this->gates.find(model);
    return found == this->gates.end() ? nullptr : found->second.get();
}

completion_service::admission completion_service::admit(
    completion_request request, const caller_presence& present)
{
    const auto print = fingerprint_of(request);
    const auto judgement = this->used.crashes.status_of(print);
    if (judgement.level == suspicion_level::quarantined)
    {
        return did_not_run{
            did_not_run_reason::quarantined, judgement.retry_after};
    }
    auto* gate = this->gate_of(request.model);
    if (gate == nullptr)
    {
        return did_not_run{did_not_run_reason::no_backend_server, {}};
    }
    queue_entry entry;
    entry.workspace = request.workspace;
    entry.priority = request.priority;
    entry.weight = request.weight;
    entry.expected =
        assumed_token_time * static_cast<int>(request.max_tokens.value());
    entry.deadline = request.deadline;
    entry.preemptible = true;
    const auto began = this->used.time.now();
    auto entrance = gate->enter(entry, present);
    if (const auto* refusal = std::get_if<did_not_run>(&entrance))
    {
        return *refusal;
    }
    const auto waited = this->used.time.now() - began;
    this->used.metrics.observe(
        request.workspace, request.priority, request_time::queue_wait, waited);
    return std::make_unique<completion_job>(
        this->used,
        std::move(request),
        std::get<std::unique_ptr<admission_gate::slot>>(std::move(entrance)),
        waited);
}

void completion_service::set_slots(std::size_t instances)
{
    const auto slots = this->used.router.model_slots();
    const absl::MutexLock lock{&this->mutex};
    for (const auto& [model, count] : slots)
    {
        auto& gate = this->gates[model];
        if (!gate)
        {
            admission_queue::options options;
            options.max_waiting_per_class = this->used.queue_limit;
            gate = std::make_unique<admission_gate>(this->used.time, options);
        }
        const auto share = (count + instances - 1) / instances;
        gate->set_capacity(std::max<std::size_t>(1, share));
    }
}

void completion_service::tick()
{
    const absl::MutexLock lock{&this->mutex};
    for (const auto& [model, gate] : this->gates)
    {
        gate->tick();
    }
}

std::size_t completion_service::waiting() const
{
    const absl::MutexLock lock{&this->mutex};
    return std::accumulate(
        this->gates.begin(),
        this->gates.end(),
        std::size_t{0},
        [](std::size_t sum, const auto& gate)
        {
            return sum + gate.second->waiting();
        });
}

std::size_t completion_service::running() const
{
    const absl::MutexLock lock{&this->mutex};
    return std::accumulate(
        this->gates.begin(),
        this->gates.end(),
        std::size_t{0},
        [](std::size_t sum, const auto& gate)
        {
            return sum + gate.second->running();
        });
}

} // namespace fireflysail
