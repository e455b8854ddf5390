#include "routing_run.hpp"

#include "common/hash.hpp"
#include "mixed_fleet.hpp"
#include "percentile.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fireflysail::benchmarks
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t least_output = 8;
constexpr std::uint32_t most_output = 1024;

/// Tokens of a stream between two samples of its step time.
constexpr std::uint32_t tokens_between_samples = 8;

constexpr duration queue_sample_interval = 100ms;

constexpr duration retry_delay = 100ms;

double seconds(duration time)
{
    return std::chrono::duration<double>{time}.count();
}

} // namespace

struct routing_run::instance
{
    instance(const clock& time, std::size_t engines, std::uint64_t seed)
        : loads{time, engines}
        , times{engines}
        , states{engines}
        , random{seed}
        , turn{random()}
    {
    }

    load_tracker loads;
    service_times times;
    service_states states;
    prefix_affinity prefixes;
    ejector ejections;
    std::mt19937_64 random;
    std::uint64_t turn = 0;
};

struct routing_run::request_state
{
    std::size_t at = 0;
    std::uint32_t prompt = 0;
    std::uint32_t output = 0;
    std::uint32_t delivered = 0;
    std::uint64_t prefix = 0;
    time_point arrived;
    time_point last_token;
    time_point last_sample;
    pipeline route;
};

mean_request mean_of(const routing_workload& load)
{
    const double prompt = (load.least_prompt + load.most_prompt) / 2.0;
    // Of an exponential length that is cut to [least_output, most_output].
    const double low = std::exp(-(least_output / load.mean_output));
    const double high = std::exp(-(most_output / load.mean_output));
    return {prompt, least_output + load.mean_output * (low - high)};
}

routing_run::routing_run(
    simulation::event_loop& loop,
    simulation::fake_fleet& fleet,
    const routing_setup& setup)
    : loop{loop}
    , fleet{fleet}
    , setup{setup}
    , random{setup.seed}
{
    const fleet_snapshot snapshot = fleet.snapshot();
    for (std::size_t i = 0; i < snapshot.engines.size(); ++i)
    {
        this->engine_by_key.emplace(
            stable_hash(snapshot.engines[i].id.str()), i);
    }
    for (std::size_t i = 0; i < setup.instances; ++i)
    {
        this->instances.push_back(std::make_unique<instance>(
            loop.time(), fleet.size(), setup.seed * 1'000'003 + i));
    }
    this->deliver_reports(snapshot);
    this->publish_reports();
    this->sample_queues();
    for (std::size_t i = 0; i < setup.load.concurrency; ++i)
    {
        // Not all at one moment, as after a restart of everything.
        loop.after(
            from_seconds(static_cast<double>(this->random() % 4000) / 1000),
            [this, i]
            {
                this->start_request(i % this->instances.size());
            });
    }
    if (setup.load.requests_per_second > 0)
    {
        this->arrive();
    }
}

routing_run::~routing_run() = default;

void routing_run::publish_reports()
{
    this->loop.after(
        this->setup.report_lag,
        [this, snapshot = this->fleet.snapshot()]
        {
            this->deliver_reports(snapshot);
        });
    this->loop.after(
        this->setup.report_interval,
        [this]
        {
            this->publish_reports();
        });
}

void routing_run::deliver_reports(const fleet_snapshot& snapshot)
{
    this->table = plan_routes(snapshot, this->table);
    for (auto& at : this->instances)
    {
        for (const engine& each : snapshot.engines)
        {
            at->loads.report(
                *this->table->slot_of(each.id),
                stable_hash(each.id.str()),
                each.load,
                each.load.received_at);
        }
        for (const auto& [key, set] : this->table->sets)
        {
            at->loads.update_utilization(*set);
        }
        at->ejections.evaluate(
            *this->table, at->times, at->states, this->loop.now());
    }
}

void routing_run::arrive()
{
    std::exponential_distribution<double> gap{
        this->setup.load.requests_per_second};
    this->loop.after(
        from_seconds(gap(this->random)),
        [this]
        {
            this->start_request(this->random() % this->instances.size());
            this->arrive();
        });
}

void routing_run::start_request(std::size_t at)
{
    const routing_workload& load = this->setup.load;
    auto request = std::make_shared<request_state>();
    request->at = at;
    request->prompt = std::uniform_int_distribution<std::uint32_t>{
        load.least_prompt, load.most_prompt}(this->random);
    const double drawn = std::exponential_distribution<double>{
        1 / load.mean_output}(this->random);
    request->output = static_cast<std::uint32_t>(
        std::clamp<double>(drawn, least_output, most_output));
    request->prefix =
        load.prefixes > 0 ? 1 + this->random() % load.prefixes : 0;
    request->arrived = this->loop.now();
    this->dispatch(request);
}

const pipeline* routing_run::choose(instance& at, const request_state& request)
{
    const model_id model = mixed_fleet_model();
    if (this->setup.policy == routing_policy::expected_completion)
    {
        route_request wanted;
        wanted.model = model;
        wanted.prompt_tokens = request.prompt + request.delivered;
        wanted.expected_output_tokens =
            static_cast<std::uint32_t>(this->setup.load.mean_output);
        wanted.prefix = this->setup.load.prefix_known ? request.prefix : 0;
        wanted.prefix_tokens = this->setup.load.prefix_tokens;
        const load_view view{
            at.loads, at.times, at.states, at.prefixes, this->loop.now()};
        const auto choice =
            choose_pipeline(*this->table, wanted, view, at.random);
        const auto* chosen = std::get_if<chosen_pipeline>(&choice);
        return chosen == nullptr ? nullptr : chosen->route;
    }
    const auto& candidates =
        this->table->versions.at(model).front()->candidates;
    if (this->setup.policy == routing_policy::round_robin)
    {
        return &candidates[at.turn++ % candidates.size()];
    }
    return &*std::ranges::min_element(
        candidates,
        {},
        [&](const pipeline& candidate)
        {
            double most = 0;
            for (const stage& part : candidate.stages)
            {
                most = std::max(most, at.loads.load(part).reported_streams);
            }
            return most;
        });
}

void routing_run::dispatch(const std::shared_ptr<request_state>& request)
{
    instance& at = *this->instances[request->at];
    const pipeline* chosen = this->choose(at, *request);
    if (chosen == nullptr)
    {
        this->loop.after(
            retry_delay,
            [this, request]
            {
                this->dispatch(request);
            });
        return;
    }
    request->route = *chosen;
    at.loads.begin(request->route);
    if (request->prefix != 0)
    {
        at.prefixes.remember(request->prefix, request->route);
    }
    simulation::stream_request wanted;
    for (const stage& part : request->route.stages)
    {
        wanted.stages.push_back(
            {this->engine_by_key.at(part.server_key), part.layers});
    }
    wanted.prompt_tokens = request->prompt;
    wanted.output_tokens = request->output;
    wanted.delivered = request->delivered;
    wanted.prefix = request->prefix;
    wanted.prefix_tokens = std::min(
        request->prompt,
        request->prefix == 0 ? 0 : this->setup.load.prefix_tokens);
    wanted.on_token = [this, request](token_index)
    {
        this->on_token(request);
    };
    wanted.on_end = [this, request](simulation::stream_end how)
    {
        this->on_end(request, how);
    };
    this->fleet.start(std::move(wanted));
}

void routing_run::on_token(const std::shared_ptr<request_state>& request)
{
    const time_point now = this->loop.now();
    request_state& state = *request;
    if (this->measuring)
    {
        ++this->tokens;
        if (state.delivered == 0)
        {
            this->first_tokens.push_back(seconds(now - state.arrived));
        }
        else
        {
            this->gaps.push_back(seconds(now - state.last_token));
        }
    }
    if (state.delivered % tokens_between_samples == 0)
    {
        if (state.delivered > 0)
        {
            this->instances[state.at]->times.observe_token(
                state.route,
                (now - state.last_sample) / tokens_between_samples,
                now);
        }
        state.last_sample = now;
    }
    state.last_token = now;
    ++state.delivered;
}

void routing_run::on_end(
    const std::shared_ptr<request_state>& request, simulation::stream_end how)
{
    this->instances[request->at]->loads.end(request->route);
    if (how == simulation::stream_end::stage_lost)
    {
        this->loop.after(
            retry_delay,
            [this, request]
            {
                this->dispatch(request);
            });
        return;
    }
    if (this->setup.load.concurrency > 0)
    {
        this->loop.after(
            duration::zero(),
            [this, at = request->at]
            {
                this->start_request(at);
            });
    }
}

void routing_run::sample_queues()
{
    if (this->measuring)
    {
        double most = 0;
        double sum = 0;
        double engines = 0;
        for (std::size_t i = 0; i < this->fleet.size(); ++i)
        {
            if (this->fleet.at(i).alive())
            {
                const load_report load = this->fleet.at(i).load();
                const double queue = load.running + load.waiting;
                most = std::max(most, queue);
                sum += queue;
                ++engines;
            }
        }
        const double mean = sum / std::max(1.0, engines);
        this->worst_ratio =
            std::max(this->worst_ratio, mean > 0 ? most / mean : 0);
        this->mean_sum += mean;
        ++this->samples;
    }
    this->loop.after(
        queue_sample_interval,
        [this]
        {
            this->sample_queues();
        });
}

void routing_run::warm_up(duration time)
{
    this->loop.run_until(this->loop.now() + time);
}

routing_figures routing_run::measure(duration time)
{
    this->tokens = 0;
    this->first_tokens.clear();
    this->gaps.clear();
    this->worst_ratio = 0;
    this->mean_sum = 0;
    this->samples = 0;
    this->measuring = true;
    this->loop.run_until(this->loop.now() + time);
    this->measuring = false;
    routing_figures figures;
    figures.tokens_per_second =
        static_cast<double>(this->tokens) / seconds(time);
    figures.first_token_p95_seconds = percentile(this->first_tokens, 0.95);
    figures.between_tokens_p95_seconds = percentile(this->gaps, 0.95);
    figures.worst_queue_over_mean = this->worst_ratio;
    figures.mean_queue =
        this->mean_sum /
        std::max<double>(1, static_cast<double>(this->samples));
    return figures;
}

} // namespace fireflysail::benchmarks
