#include "simulation/recovery_world.hpp"

#include "common/invariant.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <ranges>
#include <string>
#include <utility>

namespace fireflysail::simulation
{

namespace
{

using namespace std::chrono_literals;
using float_seconds = std::chrono::duration<double>;

constexpr std::uint32_t layers_per_stage = 20;
constexpr std::size_t stage_count = 2;
constexpr std::uint32_t slots = 16;
constexpr duration zone_delay = 500us;
/// Engine time of one token over both stages when every slot is taken: a step
/// then carries about half of the slots, as streams alternate between stages.
constexpr duration decode_work_per_token = 2800us;
constexpr duration expected_step = 30ms;
constexpr duration expected_queue = 60ms;
constexpr duration plain_timeout = 10s;
constexpr duration downtime = 5s;
constexpr duration isolation_retry = 10ms;
constexpr duration avoided_after_stall = 1s;
constexpr duration no_room_retry = 10ms;
constexpr double mean_output = 200;
constexpr std::uint64_t crashing_print = 0xdead;
/// Part of the healthy engines' prefill rate that resumes may take.
constexpr double resume_share = 0.5;
constexpr duration typical_resume_prefill = 100ms;

layer_range range_of(std::size_t stage)
{
    const auto first = static_cast<std::uint32_t>(stage * layers_per_stage);
    return {layer_index{first}, layer_index{first + layers_per_stage}};
}

engine_shape shape_of_engine()
{
    engine_shape shape;
    shape.slots = slots;
    shape.max_batch = slots;
    return shape;
}

} // namespace

recovery_world::recovery_world(
    const recovery_shape& shape, recovery_mode mode, std::uint64_t seed)
    : shape{shape}
    , mode{mode}
    , random{seed}
    , arrivals{seed + 1}
    , fleet{this->loop}
    , budget{{}, time_point{}}
    , pacer{{}}
    , suspicion{{}}
{
    for (std::size_t zone = 0; zone < shape.zones; ++zone)
    {
        for (std::size_t other = 0; other < zone; ++other)
        {
            this->fleet.set_link(
                zone_id{std::to_string(zone)},
                zone_id{std::to_string(other)},
                zone_delay);
        }
        const std::size_t count =
            shape.engines_per_zone_and_stage * stage_count;
        for (std::size_t i = 0; i < count; ++i)
        {
            const std::size_t stage = i % stage_count;
            engine about;
            about.zone = zone_id{std::to_string(zone)};
            holding held;
            held.layers = range_of(stage);
            about.holdings.push_back(std::move(held));
            this->fleet.add_engine(std::move(about), shape_of_engine());
            this->engines.push_back({stage, zone, true, 0});
        }
    }
    this->loop.after(
        1ms,
        [this]
        {
            this->arrive();
        });
}

void recovery_world::run_until(time_point end)
{
    this->loop.run_until(end);
}

void recovery_world::at(time_point when, event_loop::callback action)
{
    this->loop.at(when, std::move(action));
}

const std::vector<caller_stream>& recovery_world::callers() const
{
    return this->all;
}

int recovery_world::engines_crashed_by_request() const
{
    return this->crashed_by_request;
}

void recovery_world::stop_arrivals()
{
    this->arriving = false;
}

void recovery_world::arrive()
{
    if (!this->arriving)
    {
        return;
    }
    caller_stream fresh;
    std::uniform_int_distribution<std::uint32_t> prompt{100, 500};
    std::uniform_int_distribution<std::uint32_t> output{100, 300};
    fresh.prompt_tokens = prompt(this->arrivals);
    fresh.output_tokens = output(this->arrivals);
    fresh.print = this->all.size() + 1;
    fresh.arrival = this->loop.now();
    this->all.push_back(std::move(fresh));
    this->restart(this->all.size() - 1);

    const float_seconds service = expected_step * mean_output;
    std::exponential_distribution<double> gap{
        this->shape.concurrency / service.count()};
    this->loop.after(
        std::chrono::duration_cast<duration>(
            float_seconds{gap(this->arrivals)}),
        [this]
        {
            this->arrive();
        });
}

void recovery_world::send_crasher()
{
    caller_stream poisoned;
    poisoned.prompt_tokens = 300;
    poisoned.output_tokens = 200;
    poisoned.print = crashing_print;
    poisoned.arrival = this->loop.now();
    this->all.push_back(std::move(poisoned));
    this->restart(this->all.size() - 1);
}

/// Fewest in flight, near `near` when equal; nothing when all are down.
std::optional<std::size_t> recovery_world::pick(
    std::size_t stage,
    std::size_t near,
    bool isolated,
    const std::vector<server_id>& avoid) const
{
    std::optional<std::size_t> best;
    const auto cost = [&](std::size_t engine)
    {
        const engine_state& state = this->engines[engine];
        return std::pair{state.in_flight, state.zone == near ? 0 : 1};
    };
    for (std::size_t i = 0; i < this->engines.size(); ++i)
    {
        const engine_state& state = this->engines[i];
        const bool has_room =
            this->mode == recovery_mode::plain || state.in_flight < slots;
        const bool avoided =
            state.avoided_until > this->loop.now() ||
            std::ranges::find(avoid, server_of(i)) != avoid.end();
        const bool fits =
            state.alive && state.stage == stage && has_room && !avoided;
        if (!fits || (isolated && this->suspicion.runs_suspect(server_of(i))))
        {
            continue;
        }
        if (!best || cost(i) < cost(*best))
        {
            best = i;
        }
    }
    return best;
}

std::vector<fake_stage> recovery_world::fresh_stages()
{
    std::vector<fake_stage> stages;
    std::size_t near = this->random() % this->shape.zones;
    for (std::size_t stage = 0; stage < stage_count; ++stage)
    {
        const auto engine = this->pick(stage, near, false, {});
        if (!engine)
        {
            return {};
        }
        near = this->engines[*engine].zone;
        stages.push_back({*engine, range_of(stage), 0});
    }
    return stages;
}

duration recovery_world::prefill_work(
    const caller_stream& caller, const std::vector<fake_stage>& stages) const
{
    duration total{};
    const std::uint32_t start =
        this->mode == recovery_mode::plain ? 0 : caller.delivered;
    const std::uint32_t context = caller.prompt_tokens + start;
    for (const fake_stage& stage : stages)
    {
        const std::uint32_t missing =
            context - std::min(context, stage.kv_held);
        total += shape_of_engine().prefill_per_token_layer * missing *
                 layers_per_stage;
    }
    return total;
}

/// A first attempt, or in plain mode another from the beginning.
void recovery_world::restart(std::size_t caller)
{
    caller_stream& stream = this->all[caller];
    const bool resumes_first = this->waiting_resumes > 0;
    const auto stages =
        resumes_first ? std::vector<fake_stage>{} : this->fresh_stages();
    if (stages.empty())
    {
        this->loop.after(
            no_room_retry,
            [this, caller]
            {
                this->restart(caller);
            });
        return;
    }
    if (!stream.recovery)
    {
        stream.recovery.emplace(
            request_recovery::options{}, work_kind::stream, time_point::max());
        stream.ideal_work = this->prefill_work(stream, stages) +
                            decode_work_per_token * stream.output_tokens;
    }
    this->launch(caller, stages);
}

void recovery_world::launch(
    std::size_t caller, const std::vector<fake_stage>& stages)
{
    caller_stream& stream = this->all[caller];
    const std::uint64_t attempt = ++stream.attempt;
    ++stream.attempts;
    const duration prefill = this->prefill_work(stream, stages);
    const duration expected_first =
        prefill > duration::zero() ? prefill + expected_queue : expected_step;
    stream.work += prefill;
    stream.engines.clear();
    stream_request request;
    request.stages = stages;
    for (const fake_stage& stage : stages)
    {
        stream.engines.push_back(stage.engine);
        ++this->engines[stage.engine].in_flight;
    }
    request.prompt_tokens = stream.prompt_tokens;
    request.output_tokens = stream.output_tokens;
    request.delivered =
        this->mode == recovery_mode::plain ? 0 : stream.delivered;
    stream.produced = request.delivered;
    request.prefix = (std::uint64_t{caller} << 20) + attempt;
    request.on_token = [this, caller, attempt](token_index index)
    {
        this->on_token(caller, attempt, index);
    };
    request.on_end = [this, caller, attempt](stream_end how)
    {
        this->on_end(caller, attempt, how);
    };
    stream.monitor.emplace(
        progress_monitor::options{},
        expected_first,
        expected_step,
        this->loop.now(),
        stream.recovery->attempts_without_progress());
    stream.stream = this->fleet.start(std::move(request));
    this->crash_if_poisoned(caller, attempt);
    this->watch(caller, attempt);
}

/// The engine of the first stage dies in the middle of the prefill.
void recovery_world::crash_if_poisoned(
    std::size_t caller, std::uint64_t attempt)
{
    if (this->all[caller].print != crashing_print)
    {
        return;
    }
    this->loop.after(
        40ms,
        [this, caller, attempt]
        {
            const caller_stream& stream = this->all[caller];
            if (stream.attempt == attempt && !stream.given_up)
            {
                ++this->crashed_by_request;
                this->kill(stream.engines.front());
            }
        });
}

void recovery_world::leave_engines(caller_stream& caller)
{
    for (const std::size_t engine : caller.engines)
    {
        --this->engines[engine].in_flight;
    }
    caller.engines.clear();
}

void recovery_world::on_token(
    std::size_t caller, std::uint64_t attempt, token_index index)
{
    caller_stream& stream = this->all[caller];
    ensure(stream.attempt == attempt, "a cancelled attempt is not heard");
    stream.work += decode_work_per_token;
    stream.monitor->on_progress(this->loop.now());
    for (const std::size_t engine : stream.engines)
    {
        this->engines[engine].last_token = this->loop.now();
    }
    const std::uint32_t produced = stream.produced++;
    if (this->mode == recovery_mode::plain && produced < stream.delivered)
    {
        return;
    }
    stream.misordered += index.value() == stream.delivered ? 0 : 1;
    ++stream.delivered;
    stream.recovery->on_delivered(token_index{stream.delivered});
    this->suspicion.on_progress(
        fingerprint{stream.print}, token_index{stream.delivered});
    if (stream.fault_at)
    {
        stream.gaps.push_back(this->loop.now() - *stream.fault_at);
        stream.fault_at.reset();
    }
}

void recovery_world::on_end(
    std::size_t caller, std::uint64_t attempt, stream_end how)
{
    caller_stream& stream = this->all[caller];
    if (stream.attempt != attempt)
    {
        return;
    }
    if (how == stream_end::finished)
    {
        this->leave_engines(stream);
        stream.finished = this->loop.now();
        this->budget.credit(this->loop.now());
        this->suspicion.on_completed(fingerprint{stream.print});
        return;
    }
    const auto dead = std::ranges::find_if(
        stream.engines,
        [this](std::size_t engine)
        {
            return !this->engines[engine].alive;
        });
    ensure(dead != stream.engines.end(), "a lost stage is known to be down");
    this->fail(caller, {failure_kind::stage_died, server_of(*dead), true});
}

void recovery_world::watch(std::size_t caller, std::uint64_t attempt)
{
    const caller_stream& stream = this->all[caller];
    const time_point due = this->mode == recovery_mode::managed
                               ? stream.monitor->silent_at()
                               : this->loop.now() + plain_timeout;
    this->loop.at(
        due,
        [this, caller, attempt, seen = stream.produced]
        {
            const caller_stream& watched = this->all[caller];
            if (watched.attempt != attempt || watched.finished ||
                watched.engines.empty())
            {
                return;
            }
            const bool silent =
                this->mode == recovery_mode::managed
                    ? watched.monitor->is_silent(this->loop.now())
                    : watched.produced == seen;
            if (!silent)
            {
                this->watch(caller, attempt);
                return;
            }
            if (this->mode == recovery_mode::managed)
            {
                this->find_stalled(watched);
            }
            this->fleet.cancel(watched.stream);
            this->fail(
                caller, {failure_kind::connection_silent, server_id{}, true});
        });
}

std::vector<attempt_stage>
recovery_world::stages_of(const caller_stream& caller) const
{
    std::vector<attempt_stage> stages;
    for (const std::size_t engine : caller.engines)
    {
        const engine_state& state = this->engines[engine];
        const bool healthy =
            state.alive && state.avoided_until <= this->loop.now();
        stages.push_back({server_of(engine), range_of(state.stage), healthy});
    }
    return stages;
}

void recovery_world::fail(std::size_t caller, const attempt_failure& failure)
{
    caller_stream& stream = this->all[caller];
    const auto stages = this->stages_of(stream);
    this->leave_engines(stream);
    ++stream.attempt;
    if (this->mode == recovery_mode::plain)
    {
        this->restart(caller);
        return;
    }
    this->follow(caller, failure, stages);
}

void recovery_world::follow(
    std::size_t caller,
    const attempt_failure& failure,
    const std::vector<attempt_stage>& stages)
{
    caller_stream& stream = this->all[caller];
    const auto judged =
        this->suspicion.status_of(fingerprint{stream.print}, this->loop.now());
    if (judged.level == suspicion_level::quarantined)
    {
        stream.given_up =
            outcome{failed{failed_reason::crashes_backend_servers}};
        return;
    }
    recovery_view view{stages, true, std::nullopt, typical_resume_prefill};
    const recovery_step step = stream.recovery->next_step(
        failure,
        view,
        {this->budget, this->pacer, this->random},
        this->loop.now());
    if (const auto* wait = std::get_if<wait_until>(&step))
    {
        this->loop.at(
            wait->when,
            [this, caller, failure, stages]
            {
                this->follow(caller, failure, stages);
            });
    }
    else if (const auto* end = std::get_if<give_up>(&step))
    {
        stream.given_up = end->how;
    }
    else if (std::holds_alternative<reconnect_same_server>(step))
    {
        std::vector<fake_stage> same;
        for (const attempt_stage& stage : stages)
        {
            same.push_back(
                {this->engine_of(stage.server),
                 stage.layers,
                 stream.prompt_tokens + stream.delivered});
        }
        this->launch(caller, same);
    }
    else
    {
        this->resume(caller, failure, stages, std::get<resume_elsewhere>(step));
    }
}

void recovery_world::find_stalled(const caller_stream& silent)
{
    for (const std::size_t engine : silent.engines)
    {
        engine_state& state = this->engines[engine];
        if (has_stalled(
                {state.last_token, state.in_flight},
                silent.monitor->last_progress_at(),
                silent.monitor->step()))
        {
            state.avoided_until = this->loop.now() + avoided_after_stall;
        }
    }
}

void recovery_world::resume(
    std::size_t caller,
    const attempt_failure& failure,
    const std::vector<attempt_stage>& stages,
    const resume_elsewhere& step)
{
    const caller_stream& stream = this->all[caller];
    const fingerprint print{stream.print};
    const bool suspect =
        this->suspicion.status_of(print, this->loop.now()).level ==
        suspicion_level::suspect;
    std::vector<fake_stage> next;
    std::vector<server_id> fresh;
    std::size_t near = 0;
    for (const attempt_stage& stage : stages)
    {
        const std::size_t engine = this->engine_of(stage.server);
        const bool kept =
            this->engines[engine].alive &&
            std::ranges::find(
                step.lost, stage.server, &attempt_stage::server) ==
                step.lost.end();
        if (kept)
        {
            near = this->engines[engine].zone;
            next.push_back(
                {engine,
                 stage.layers,
                 stream.prompt_tokens + stream.delivered});
            continue;
        }
        const auto other =
            this->pick(this->engines[engine].stage, near, suspect, step.avoid);
        if (!other)
        {
            ++this->waiting_resumes;
            this->loop.after(
                isolation_retry,
                [this, caller, failure, stages, step]
                {
                    --this->waiting_resumes;
                    this->resume(caller, failure, stages, step);
                });
            return;
        }
        near = this->engines[*other].zone;
        fresh.push_back(server_of(*other));
        next.push_back({*other, stage.layers, 0});
    }
    if (suspect)
    {
        const bool apart =
            this->suspicion.try_isolate(print, fresh, this->loop.now());
        ensure(apart, "the engines picked run no other suspect");
    }
    this->launch(caller, next);
}

void recovery_world::kill(std::size_t engine)
{
    this->engines[engine].alive = false;
    std::vector<request_in_flight> in_flight;
    for (caller_stream& caller : this->all)
    {
        if (std::ranges::find(caller.engines, engine) != caller.engines.end())
        {
            in_flight.push_back(
                {fingerprint{caller.print}, token_index{caller.delivered}});
            caller.fault_at = caller.fault_at.value_or(this->loop.now());
            caller.hit = true;
        }
    }
    this->suspicion.on_loss(
        server_of(engine), loss_kind::crash, in_flight, this->loop.now());
    const auto healthy = std::ranges::count_if(
        this->engines,
        [](const engine_state& state)
        {
            return state.alive;
        });
    this->pacer.set_rate(
        static_cast<double>(healthy) / stage_count * resume_share /
        float_seconds{typical_resume_prefill}.count());
    this->fleet.at(engine).die();
    this->loop.after(
        downtime,
        [this, engine]
        {
            this->engines[engine].alive = true;
            this->fleet.at(engine).revive();
        });
}

void recovery_world::kill_some_engine()
{
    std::size_t engine = this->random() % this->engines.size();
    while (!this->engines[engine].alive)
    {
        engine = (engine + 1) % this->engines.size();
    }
    this->kill(engine);
}

void recovery_world::hang_some_engine()
{
    const std::size_t engine = this->random() % this->engines.size();
    for (caller_stream& caller : this->all)
    {
        if (std::ranges::find(caller.engines, engine) != caller.engines.end())
        {
            caller.fault_at = caller.fault_at.value_or(this->loop.now());
            caller.hit = true;
        }
    }
    this->fleet.at(engine).go_silent();
    this->loop.after(
        downtime,
        [this, engine]
        {
            this->fleet.at(engine).revive();
        });
}

void recovery_world::kill_zone(std::size_t zone)
{
    for (std::size_t i = 0; i < this->engines.size(); ++i)
    {
        if (this->engines[i].zone == zone && this->engines[i].alive)
        {
            this->kill(i);
        }
    }
}

void recovery_world::silence_some_stream()
{
    std::vector<std::size_t> running;
    for (std::size_t i = 0; i < this->all.size(); ++i)
    {
        const caller_stream& caller = this->all[i];
        const bool streams = caller.delivered > 0 && !caller.engines.empty() &&
                             !caller.fault_at &&
                             caller.delivered + 20 < caller.output_tokens;
        if (streams)
        {
            running.push_back(i);
        }
    }
    if (running.empty())
    {
        return;
    }
    caller_stream& caller = this->all[running[this->random() % running.size()]];
    caller.fault_at = this->loop.now();
    caller.hit = true;
    this->fleet.silence(caller.stream);
}

server_id recovery_world::server_of(std::size_t engine)
{
    return server_id{fmt::format("engine-{}", engine)};
}

std::size_t recovery_world::engine_of(const server_id& server) const
{
    return std::stoul(server.str().substr(std::string{"engine-"}.size()));
}

} // namespace fireflysail::simulation
