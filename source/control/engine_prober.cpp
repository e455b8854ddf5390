#include "control/engine_prober.hpp"

#include "common/log.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

/// Limits how long one call blocks when a whole availability zone is down.
constexpr std::size_t max_probes_per_call = 4;

/// An engine whose KV cache is fuller than this share may refuse requests for
/// lack of memory; its reported usage is a few hundred milliseconds old.
constexpr double kv_full_ratio = 0.7;

bool has_free_capacity(const engine_condition& report)
{
    return !report.busy &&
           static_cast<double>(report.kv_used) <
               kv_full_ratio * static_cast<double>(report.kv_total);
}

} // namespace

engine_prober::engine_prober(
    blackboard& board, engine_control& engines, const clock& time)
    : board{board}
    , engines{engines}
    , time{time}
    , handlers{
          [](const server_id&, engine_observation) {},
          [](const server_id&) {},
          [] {}}
    , faults{engine_faults::options{}}
{
}

std::string_view name_of(engine_fault fault)
{
    switch (fault)
    {
    case engine_fault::named_by_peer:
        return "named_by_peer";
    case engine_fault::unreachable:
        return "unreachable";
    case engine_fault::in_silent_pipeline:
        return "in_silent_pipeline";
    }
    return "unknown";
}

std::string_view name_of(engine_observation observation)
{
    switch (observation)
    {
    case engine_observation::failed:
        return "failed";
    case engine_observation::unanswered:
        return "unanswered";
    case engine_observation::answered:
        return "answered";
    case engine_observation::congested:
        return "congested";
    case engine_observation::leaving:
        return "leaving";
    }
    return "unknown";
}

void engine_prober::set_handlers(event_handlers handlers)
{
    this->handlers = std::move(handlers);
}

void engine_prober::on_peer_observation(
    const instance_id& from,
    const server_id& server,
    engine_observation observation,
    engine_faults::reporter reporter)
{
    const time_point now = this->time.now();
    const auto fleet = this->board.fleet.load();
    if (std::ranges::find(fleet->engines, server, &engine::id) ==
        fleet->engines.end())
    {
        return;
    }
    const absl::MutexLock lock{&this->mutex};
    const bool was_avoided = this->faults.is_avoided(server, now);
    const bool was_lost = this->faults.is_lost(server, now);
    switch (observation)
    {
    case engine_observation::failed:
        this->faults.remote_fault(server, now);
        break;
    case engine_observation::unanswered:
        this->faults.remote_probe_failed(server, from, now, reporter);
        break;
    case engine_observation::answered:
        this->faults.remote_probe_succeeded(server, now);
        break;
    case engine_observation::congested:
    case engine_observation::leaving:
        break;
    }
    const bool is_avoided = this->faults.is_avoided(server, now);
    const bool is_lost = this->faults.is_lost(server, now);
    if (is_avoided != was_avoided || is_lost != was_lost)
    {
        log::event(
            log::level::info,
            log::channel::routing,
            "engine_news_heard",
            {{"server", server.str()},
             {"from", from.str()},
             {"news", name_of(observation)},
             {"avoided", is_avoided},
             {"lost", is_lost}});
    }
}

void engine_prober::report(const server_id& server, engine_fault fault)
{
    {
        const absl::MutexLock lock{&this->mutex};
        const auto before = this->faults.version();
        this->faults.report(server, fault, this->time.now());
        if (this->faults.version() == before)
        {
            return;
        }
    }
    log::event(
        log::level::warning,
        log::channel::routing,
        "engine_suspected",
        {{"server", server.str()}, {"cause", name_of(fault)}});
    // A fault that only this instance observed may be in its own network, so it
    // is not shared.
    if (fault == engine_fault::named_by_peer)
    {
        this->handlers.share_observation(server, engine_observation::failed);
    }
    this->handlers.request_probe();
}

void engine_prober::report_stalled_pipeline(const server_id& first_stage)
{
    this->report(first_stage, engine_fault::in_silent_pipeline);
}

engine_prober::replies
engine_prober::probe_suspected(engine_faults::remote_reports include)
{
    std::vector<server_id> due_probes;
    const auto fleet = this->board.fleet.load();
    const auto find_engine = [&fleet](const server_id& id)
    {
        return std::ranges::find(fleet->engines, id, &engine::id);
    };
    {
        const absl::MutexLock lock{&this->mutex};
        this->faults.keep_only(
            [&](const server_id& id)
            {
                return find_engine(id) != fleet->engines.end();
            });
        due_probes = this->faults.take_due_probes(this->time.now(), include);
    }
    // The remaining engines stay due and are probed by the next call.
    due_probes.resize(std::min(due_probes.size(), max_probes_per_call));
    replies received;
    for (const server_id& id : due_probes)
    {
        const auto server = find_engine(id);
        if (server != fleet->engines.end() && !this->is_backing_off(id))
        {
            this->probe(*server, received);
        }
    }
    return received;
}

engine_prober::replies engine_prober::probe_all()
{
    const auto fleet = this->board.fleet.load();
    replies received;
    for (const engine& server : fleet->engines)
    {
        if (this->is_lost(server.id) || this->is_backing_off(server.id))
        {
            continue;
        }
        this->probe(server, received);
    }
    return received;
}

void engine_prober::probe(const engine& server, replies& received)
{
    auto answer = this->engines.status(server);
    this->apply_result(server, answer);
    if (answer)
    {
        received.emplace_back(server.id, std::move(answer).value());
    }
}

void engine_prober::apply_result(
    const engine& server, const result<engine_condition>& answer)
{
    if (!answer)
    {
        bool lost = false;
        {
            const absl::MutexLock lock{&this->mutex};
            this->faults.probe_failed(server.id, this->time.now());
            lost = this->faults.is_lost(server.id, this->time.now());
        }
        log::event(
            log::level::warning,
            log::channel::routing,
            "engine_unanswered",
            {{"server", server.id.str()}, {"lost", lost}});
        this->handlers.on_unanswered(server.id);
        this->handlers.share_observation(
            server.id, engine_observation::unanswered);
        return;
    }
    const engine_condition& report = answer.value();
    if (report.leaving)
    {
        this->handlers.on_leaving(server.id, server.started_at_ms);
    }
    const bool same_incarnation = report.started_at_ms == 0 ||
                                  server.started_at_ms == 0 ||
                                  report.started_at_ms == server.started_at_ms;
    const auto fleet = this->board.fleet.load();
    for (const stalled_stream& stream : report.stalled)
    {
        if (const engine* blocking_engine =
                this->find_by_address(*fleet, stream.blocked_on))
        {
            this->report(blocking_engine->id, engine_fault::named_by_peer);
        }
    }
    if (!same_incarnation)
    {
        // The engine has restarted and holds none of the layers that the store
        // lists.
        const absl::MutexLock lock{&this->mutex};
        this->faults.probe_failed(server.id, this->time.now());
        return;
    }
    const bool holds_layers = server.holdings.empty() || !report.layers.empty();
    if (holds_layers && report.stalled.empty())
    {
        const probed_state standing = this->classify(server, report);
        bool was_unanswered = false;
        {
            const absl::MutexLock lock{&this->mutex};
            was_unanswered = this->faults.last_probe_failed(server.id);
            this->faults.probe_succeeded(server.id, standing, this->time.now());
        }
        if (was_unanswered)
        {
            this->handlers.share_observation(
                server.id, engine_observation::answered);
        }
    }
}

probed_state
engine_prober::classify(const engine& server, const engine_condition& report)
{
    if (!has_free_capacity(report))
    {
        return probed_state::busy;
    }
    {
        const absl::MutexLock lock{&this->mutex};
        if (!this->faults.refuses(server.id, this->time.now()))
        {
            return probed_state::ready;
        }
    }
    const auto health = this->engines.health(server);
    if (health && health.value().leaving)
    {
        this->handlers.on_leaving(server.id, server.started_at_ms);
    }
    const bool leaves = health && !health.value().accepts_requests;
    log::event(
        log::level::info,
        log::channel::routing,
        "refusing_engine_asked",
        {{"server", server.id.str()},
         {"answered", health.has_value()},
         {"leaves", leaves}});
    return leaves ? probed_state::leaving : probed_state::ready;
}

const engine* engine_prober::find_by_address(
    const fleet_snapshot& fleet, const endpoint& address) const
{
    const auto found =
        std::ranges::find(fleet.engines, address, &engine::address);
    return found == fleet.engines.end() ? nullptr : &*found;
}

std::vector<server_id> engine_prober::avoided() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->faults.avoided(this->time.now());
}

bool engine_prober::is_backing_off(const server_id& server) const
{
    return this->handlers.is_backing_off(server);
}

bool engine_prober::is_lost(const server_id& server) const
{
    const absl::MutexLock lock{&this->mutex};
    return this->faults.is_lost(server, this->time.now());
}

bool engine_prober::is_gone(const server_id& server) const
{
    const absl::MutexLock lock{&this->mutex};
    return this->faults.is_gone(server);
}

std::vector<server_id> engine_prober::lost() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->lost_at(this->time.now());
}

std::vector<server_id> engine_prober::lost_at(time_point now) const
{
    auto servers = this->faults.avoided(now);
    std::erase_if(
        servers,
        [this, now](const server_id& server)
        {
            this->mutex.AssertReaderHeld();
            return !this->faults.is_lost(server, now);
        });
    return servers;
}

void engine_prober::require(engine_faults::loss_evidence evidence)
{
    const absl::MutexLock lock{&this->mutex};
    this->faults.require(evidence);
}

bool engine_prober::forget_reports(const instance_id& from)
{
    const time_point now = this->time.now();
    const absl::MutexLock lock{&this->mutex};
    const std::size_t before = this->lost_at(now).size();
    this->faults.forget_reports(from);
    return this->lost_at(now).size() < before;
}

void engine_prober::forget_own_failures()
{
    const absl::MutexLock lock{&this->mutex};
    this->faults.forget_own_failures(this->time.now());
}

} // namespace fireflysail
