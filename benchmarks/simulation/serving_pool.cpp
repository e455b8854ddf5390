#include "simulation/serving_pool.hpp"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace fireflysail::simulation
{

namespace
{

using namespace std::chrono_literals;

constexpr duration tick_interval = 10ms;
/// The engine ends the step under way before it confirms a cancel.
constexpr duration cancel_time = 30ms;
constexpr std::uint32_t usual_priority = 1;
constexpr std::uint32_t long_priority = 2;

} // namespace

serving_pool::serving_pool(const pool_shape& shape, pool_policy policy)
    : shape{shape}
    , policy{policy}
    , fleet{this->loop}
    , in_flight(shape.engines, 0)
    , prefilling(shape.engines, 0)
{
    for (std::size_t i = 0; i < shape.engines; ++i)
    {
        engine about;
        about.zone = zone_id{"z"};
        holding held;
        held.layers = {layer_index{0}, layer_index{shape.layers}};
        about.holdings.push_back(std::move(held));
        this->fleet.add_engine(std::move(about), shape.engine);
    }
    if (const auto* managed = std::get_if<managed_policy>(&this->policy))
    {
        this->limits.assign(shape.engines, concurrency_limit{managed->limit});
        for (concurrency_limit& limit : this->limits)
        {
            limit.on_report(shape.engine.slots);
        }
        this->queue = std::make_unique<admission_queue>(managed->queue);
    }
    this->tick();
}

void serving_pool::arrive(const pool_job& job)
{
    const std::size_t index = this->all_jobs.size();
    this->all_jobs.push_back(job);
    this->loop.at(
        job.arrival,
        [this, index]
        {
            this->submit(index);
        });
}

void serving_pool::run_until(time_point end)
{
    this->loop.run_until(end);
}

const std::vector<pool_job>& serving_pool::jobs() const
{
    return this->all_jobs;
}

std::uint64_t serving_pool::tokens_delivered() const
{
    return this->tokens;
}

duration serving_pool::nominal(const pool_job& job) const
{
    return this->expected_for(job, job.output_tokens);
}

duration serving_pool::prefill_time(std::uint32_t tokens) const
{
    return this->shape.engine.prefill_per_token_layer * tokens *
           this->shape.layers;
}

duration serving_pool::full_step() const
{
    const engine_shape& engine = this->shape.engine;
    return (engine.step_per_layer +
            engine.step_per_item_layer * engine.max_batch) *
           this->shape.layers;
}

duration
serving_pool::expected_for(const pool_job& job, std::uint32_t tokens) const
{
    return this->prefill_time(job.prompt_tokens) + this->full_step() * tokens;
}

queue_entry serving_pool::entry_of(std::size_t job) const
{
    const pool_job& asked = this->all_jobs[job];
    queue_entry entry;
    entry.ticket = ticket_id{job};
    entry.workspace = workspace_id{asked.workspace};
    entry.priority = asked.priority;
    entry.expected = this->expected_for(asked, asked.expected_tokens);
    entry.deadline = asked.deadline;
    entry.preemptible = true;
    return entry;
}

void serving_pool::submit(std::size_t job)
{
    if (!this->queue)
    {
        this->fifo.push_back(job);
        this->poll();
        return;
    }
    this->queue->set_capacity(this->capacity());
    const submission answer =
        this->queue->submit(this->entry_of(job), this->loop.now());
    if (std::holds_alternative<admitted>(answer))
    {
        this->dispatch(job);
    }
    else if (std::holds_alternative<refused>(answer))
    {
        this->all_jobs[job].refused = this->loop.now();
    }
    this->poll();
}

void serving_pool::tick()
{
    this->poll();
    this->loop.after(
        tick_interval,
        [this]
        {
            this->tick();
        });
}

void serving_pool::poll()
{
    if (!this->queue)
    {
        while (!this->fifo.empty() && this->room_at(this->pick_engine()) > 0)
        {
            const std::size_t job = this->fifo.front();
            this->fifo.pop_front();
            this->dispatch(job);
        }
        return;
    }
    this->queue->set_capacity(this->capacity());
    for (const queue_decision& decision : this->queue->poll(this->loop.now()))
    {
        if (const auto* start = std::get_if<admitted>(&decision))
        {
            this->dispatch(start->ticket.value());
        }
        else if (const auto* refusal = std::get_if<refused>(&decision))
        {
            this->all_jobs[refusal->ticket.value()].refused = this->loop.now();
        }
        else
        {
            this->preempt_job(std::get<preempt>(decision).ticket.value());
        }
    }
}

std::size_t serving_pool::room_at(std::size_t engine) const
{
    const std::size_t limit =
        this->queue ? this->limits[engine].limit()
                    : std::get<fifo_policy>(this->policy).slots_per_engine;
    const std::size_t used = this->in_flight[engine];
    return limit > used ? limit - used : 0;
}

std::size_t serving_pool::pick_engine() const
{
    std::vector<std::size_t> order(this->in_flight.size());
    std::iota(order.begin(), order.end(), 0);
    return *std::ranges::max_element(
        order,
        {},
        [this](std::size_t engine)
        {
            return std::pair{
                this->room_at(engine),
                -static_cast<std::ptrdiff_t>(this->in_flight[engine])};
        });
}

std::size_t serving_pool::capacity() const
{
    return std::accumulate(
        this->limits.begin(),
        this->limits.end(),
        std::size_t{0},
        [](std::size_t sum, const concurrency_limit& limit)
        {
            return sum + limit.limit();
        });
}

void serving_pool::dispatch(std::size_t job)
{
    pool_job& started = this->all_jobs[job];
    started.engine = this->pick_engine();
    started.dispatched = this->loop.now();
    started.awaits_first = true;
    ++this->in_flight[started.engine];
    started.prefilling = started.prompt_tokens + started.delivered;
    this->prefilling[started.engine] += started.prefilling;
    started.expected_first =
        this->prefill_time(this->prefilling[started.engine]) +
        this->full_step();
    stream_request request;
    request.stages.push_back(
        {started.engine, {layer_index{0}, layer_index{this->shape.layers}}, 0});
    request.prompt_tokens = started.prompt_tokens;
    request.output_tokens = started.output_tokens;
    request.delivered = started.delivered;
    request.prefix = job;
    const bool is_long =
        this->queue && this->queue->is_long(this->entry_of(job));
    request.priority = is_long ? long_priority : usual_priority;
    request.on_token = [this, job](token_index)
    {
        this->on_token(job);
    };
    request.on_end = [this, job](stream_end)
    {
        this->on_end(job);
    };
    started.stream = this->fleet.start(std::move(request));
}

void serving_pool::on_token(std::size_t job)
{
    pool_job& running = this->all_jobs[job];
    ++running.delivered;
    ++this->tokens;
    if (!running.awaits_first)
    {
        return;
    }
    const time_point now = this->loop.now();
    if (!running.first_token)
    {
        running.first_token = now;
    }
    this->end_prefill(running);
    if (this->queue)
    {
        this->limits[running.engine].on_sample(
            {now - running.dispatched,
             running.expected_first,
             this->in_flight[running.engine]});
    }
}

void serving_pool::end_prefill(pool_job& job)
{
    if (job.awaits_first)
    {
        job.awaits_first = false;
        this->prefilling[job.engine] -= job.prefilling;
    }
}

void serving_pool::on_end(std::size_t job)
{
    pool_job& ended = this->all_jobs[job];
    ended.finished = this->loop.now();
    --this->in_flight[ended.engine];
    if (this->queue)
    {
        this->queue->release(
            ticket_id{job}, slot_end::finished, this->loop.now());
    }
    this->poll();
}

void serving_pool::preempt_job(std::size_t job)
{
    this->loop.after(
        cancel_time,
        [this, job]
        {
            pool_job& victim = this->all_jobs[job];
            if (victim.finished)
            {
                return;
            }
            this->fleet.cancel(victim.stream);
            this->end_prefill(victim);
            ++victim.preemptions;
            --this->in_flight[victim.engine];
            const std::uint32_t expected =
                std::max(victim.expected_tokens, victim.delivered + 1);
            this->queue->on_preempted(
                ticket_id{job},
                this->expected_for(victim, expected - victim.delivered),
                this->loop.now());
            this->poll();
        });
}

} // namespace fireflysail::simulation
