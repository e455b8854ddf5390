#include "control/engine_inquiry.hpp"

#include "common/log.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

/// Inquiries in one call: bounds how long it blocks when a whole zone is gone.
constexpr std::size_t most_inquiries = 4;

/// An engine whose KV cache is fuller than this part may refuse for want of
/// memory; what it reports is some hundred milliseconds old.
constexpr double full_share = 0.7;

bool has_room(const engine_condition& report)
{
    return !report.busy &&
           static_cast<double>(report.kv_used) <
               full_share * static_cast<double>(report.kv_total);
}

} // namespace

engine_inquiry::engine_inquiry(
    blackboard& board, engine_control& engines, const clock& time)
    : board{board}
    , engines{engines}
    , time{time}
    , heard_by{[](const server_id&, engine_news) {}, [] {}}
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

std::string_view name_of(engine_news news)
{
    switch (news)
    {
    case engine_news::failed:
        return "failed";
    case engine_news::unanswered:
        return "unanswered";
    case engine_news::answered:
        return "answered";
    }
    return "unknown";
}

void engine_inquiry::set_listeners(listeners heard_by)
{
    this->heard_by = std::move(heard_by);
}

void engine_inquiry::hear(
    const instance_id& from, const server_id& server, engine_news news)
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
    switch (news)
    {
    case engine_news::failed:
        this->faults.remote_fault(server, now);
        break;
    case engine_news::unanswered:
        this->faults.remote_probe_failed(server, from, now);
        break;
    case engine_news::answered:
        this->faults.remote_probe_succeeded(server, now);
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
             {"news", name_of(news)},
             {"avoided", is_avoided},
             {"lost", is_lost}});
    }
}

void engine_inquiry::report(const server_id& server, engine_fault fault)
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
    // What this instance alone met may be its own network.
    if (fault == engine_fault::named_by_peer)
    {
        this->heard_by.tell(server, engine_news::failed);
    }
    this->heard_by.suspected();
}

void engine_inquiry::report_silence(const server_id& first_stage)
{
    this->report(first_stage, engine_fault::in_silent_pipeline);
}

engine_inquiry::reports
engine_inquiry::ask(engine_faults::remote_reports include)
{
    std::vector<server_id> due;
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
        due = this->faults.take_due_probes(this->time.now(), include);
    }
    // The rest is due again at the next call.
    due.resize(std::min(due.size(), most_inquiries));
    reports answered;
    for (const server_id& id : due)
    {
        const auto server = find_engine(id);
        if (server != fleet->engines.end())
        {
            this->ask_one(*server, answered);
        }
    }
    return answered;
}

engine_inquiry::reports engine_inquiry::survey()
{
    const auto fleet = this->board.fleet.load();
    reports answered;
    for (const engine& server : fleet->engines)
    {
        if (this->is_lost(server.id))
        {
            continue;
        }
        this->ask_one(server, answered);
    }
    return answered;
}

void engine_inquiry::ask_one(const engine& server, reports& answered)
{
    auto answer = this->engines.status(server);
    this->settle(server, answer);
    if (answer)
    {
        answered.emplace_back(server.id, std::move(answer).value());
    }
}

void engine_inquiry::settle(
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
        this->heard_by.tell(server.id, engine_news::unanswered);
        return;
    }
    const engine_condition& report = answer.value();
    const bool same_life = report.started_at_ms == 0 ||
                           server.started_at_ms == 0 ||
                           report.started_at_ms == server.started_at_ms;
    const auto fleet = this->board.fleet.load();
    for (const stalled_stream& stream : report.stalled)
    {
        if (const engine* held_up_by = this->find(*fleet, stream.waits_for))
        {
            this->report(held_up_by->id, engine_fault::named_by_peer);
        }
    }
    if (!same_life)
    {
        // Another life of the engine, which holds nothing of what is listed.
        const absl::MutexLock lock{&this->mutex};
        this->faults.probe_failed(server.id, this->time.now());
        return;
    }
    const bool holds_layers = server.holdings.empty() || !report.layers.empty();
    if (holds_layers && report.stalled.empty())
    {
        const probed_state standing = this->standing_of(server, report);
        bool was_unanswered = false;
        {
            const absl::MutexLock lock{&this->mutex};
            was_unanswered = this->faults.last_probe_failed(server.id);
            this->faults.probe_succeeded(server.id, standing, this->time.now());
        }
        if (was_unanswered)
        {
            this->heard_by.tell(server.id, engine_news::answered);
        }
    }
}

probed_state engine_inquiry::standing_of(
    const engine& server, const engine_condition& report)
{
    if (!has_room(report))
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
    const auto takes_requests = this->engines.takes_requests(server);
    const bool leaves = takes_requests && !takes_requests.value();
    log::event(
        log::level::info,
        log::channel::routing,
        "refusing_engine_asked",
        {{"server", server.id.str()},
         {"answered", takes_requests.has_value()},
         {"leaves", leaves}});
    return leaves ? probed_state::leaving : probed_state::ready;
}

const engine*
engine_inquiry::find(const fleet_snapshot& fleet, const endpoint& address) const
{
    const auto found =
        std::ranges::find(fleet.engines, address, &engine::address);
    return found == fleet.engines.end() ? nullptr : &*found;
}

std::vector<server_id> engine_inquiry::avoided() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->faults.avoided(this->time.now());
}

bool engine_inquiry::is_lost(const server_id& server) const
{
    const absl::MutexLock lock{&this->mutex};
    return this->faults.is_lost(server, this->time.now());
}

bool engine_inquiry::is_gone(const server_id& server) const
{
    const absl::MutexLock lock{&this->mutex};
    return this->faults.is_gone(server);
}

std::vector<server_id> engine_inquiry::lost() const
{
    const absl::MutexLock lock{&this->mutex};
    const time_point now = this->time.now();
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

} // namespace fireflysail
