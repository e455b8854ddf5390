// What the process tells operators and the balancer of its state.

#include "main/relay_process.hpp"

#include "common/guarded.hpp"
#include "common/log.hpp"
#include "common/store_era.hpp"

#include <fmt/format.h>

#include <iterator>
#include <utility>

namespace fireflysail
{

readiness relay_process::assess() const
{
    return assess_readiness(
        {this->relay.draining,
         this->server.accepts_callers(),
         this->board.traffic.load() != nullptr,
         this->traffic.has_server_list(),
         this->pipelines.covers_all_models(),
         this->time.now() - this->started_at});
}

readiness relay_process::update_readiness()
{
    const readiness current = this->assess();
    if (std::exchange(this->told_readiness, current) != current)
    {
        log::event(
            log::level::info,
            log::channel::main,
            "readiness",
            {{"state", name_of(current)},
             {"since_start_ms",
              std::chrono::duration<double, std::milli>{
                  this->time.now() - this->started_at}
                  .count()}});
    }
    return current;
}

std::string relay_process::metrics_text() const
{
    const auto config = this->board.traffic.load();
    std::string text = this->metrics.to_prometheus();
    const auto add = [&text](std::string_view name, auto value)
    {
        fmt::format_to(
            std::back_inserter(text), "fireflysail_{} {}\n", name, value);
    };
    const auto age_of = [this](const std::optional<time_point>& since)
    {
        return since ? to_seconds(this->time.now() - *since) : 0.0;
    };
    fmt::format_to(
        std::back_inserter(text),
        "fireflysail_readiness{{state=\"{}\"}} 1\n",
        name_of(this->assess()));
    for (const auto& [name, is_listening] : this->server.listeners())
    {
        fmt::format_to(
            std::back_inserter(text),
            "fireflysail_listening{{listener=\"{}\"}} {}\n",
            name,
            is_listening ? 1 : 0);
    }
    add("active_requests", this->relay.active_requests);
    add("open_connections", this->relay.open_connections);
    add("config_version", config ? config->version : 0);
    add("config_age_seconds",
        age_of(config ? std::optional{config->read_at} : std::nullopt));
    add("fleet_revision", change_number_of(this->board.fleet.load()->version));
    add("pipelines", this->pipelines.first_stages().size());
    add("engines_avoided", this->inquiry.avoided().size());
    add("engines_lost", this->inquiry.lost().size());
    add("cut_off", this->relay.reach.is_cut_off() ? 1 : 0);
    add("requests_passed_on_total", this->relay.passed_on);
    add("requests_taken_for_peers_total", this->relay.taken_for_peers);
    add("leads", this->duty.is_leader() ? 1 : 0);
    add("takes_notices", this->notices.is_open() ? 1 : 0);
    add("notices_sent_total", this->notices.counts.sent);
    add("notices_unsent_total", this->notices.counts.unsent);
    add("notices_received_total", this->notices.counts.received);
    add("notices_malformed_total", this->notices.counts.malformed);
    add("notices_unknown_sender_total", this->notices.counts.unknown_sender);
    add("backend_connections_opened_total", this->pool.counts.opened);
    add("backend_connections_reused_total", this->pool.counts.reused);
    add("backend_connections_failed_total", this->pool.counts.failed);
    add("backend_connections_spoiled_total", this->pool.counts.spoiled);
    add("answer_bytes_held", this->relay.answers.size());
    add("body_bytes_held", this->relay.bodies.size());
    add("bodies_refused_total", this->relay.bodies.refused_count());
    add("answers_given_up_total", this->relay.answers.given_up_count());
    add("servers_backing_off", this->backoff.closed().size());
    add("servers_that_say_they_leave", this->traffic.leaving_count());
    add("limited_servers", this->rate_limits.limited_count());
    add("limit_grants_total", this->rate_limits.totals.granted);
    add("limit_denials_total", this->rate_limits.totals.denied);
    add("limit_owners_silent_total", this->rate_limits.totals.unanswered);
    const auto crashes = this->crashes.counted();
    add("crashed_runs_total", crashes.crashed_runs);
    add("suspected_prompt_parts", crashes.suspected_parts);
    add("quarantined_prompts", crashes.quarantined_parts);
    add("prompt_quarantines_total", crashes.quarantines);
    add("prompt_trials_total", crashes.trials);
    const auto store = this->store_status();
    const auto add_view = [&text](std::string_view kind, const store_view& view)
    {
        const watch_hub_status status = view.status();
        fmt::format_to(
            std::back_inserter(text),
            "fireflysail_view_era{{kind=\"{0}\"}} {1}\n"
            "fireflysail_view_revision{{kind=\"{0}\"}} {2}\n"
            "fireflysail_lists_older_than_view_total{{kind=\"{0}\"}} {3}\n",
            kind,
            era_of(status.position).value(),
            change_number_of(status.position),
            status.counts.stale_lists);
    };
    add_view("config", this->config_view);
    add_view("servers", this->servers_view);
    add("confirms_views", this->config_view.freshness.confirms() ? 1 : 0);
    add("config_view_age_seconds",
        age_of(this->config_view.freshness.confirmed_at()));
    add("servers_view_age_seconds",
        age_of(this->servers_view.freshness.confirmed_at()));
    add("watches_ended_total", this->watches_ended);
    add("store_failing_seconds", age_of(store.failing_since));
    add("store_failures_total", store.counts.failures);
    add("store_lists_total", store.counts.lists);
    add("store_watches_total", store.counts.watches);
    this->write_demand_metrics(text);
    add("dropped_log_lines_total", log::dropped_lines());
    add("failed_steps_total", failed_steps());
    text += this->relay.hedges.to_prometheus(this->time.now());
    return text;
}

} // namespace fireflysail
