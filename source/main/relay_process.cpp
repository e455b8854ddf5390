#include "main/relay_process.hpp"

#include "common/guarded.hpp"
#include "common/log.hpp"
#include "common/store_era.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// The process ends by itself this long before it would be killed.
constexpr duration kill_margin = 600ms;

constexpr duration drain_poll = 50ms;

/// The node file is read again this often.
constexpr duration reload_interval = 30s;

/// A node file with a mistake may still be being written. Doubles with each
/// failure, up to the interval.
constexpr duration first_reload_retry = 1s;

/// Idle connections are looked through this often.
constexpr duration upkeep_interval = 1s;

/// The store must have failed for this long before engines are asked what they
/// hold, and callers are told to stay away; a single lost call is no outage.
constexpr duration outage_after = 500ms;

/// Each survey asks every engine once, and each question is paid for.
constexpr duration survey_interval = 1s;

/// Watches that add nothing to the configuration and the servers wait for
/// these, but no longer than this: where all instances start together, what the
/// store sends them takes most of a second.
constexpr duration longest_first_read = 3s;

/// Watches are looked through this often.
constexpr duration watch_check_interval = 250ms;

layout_controller_options placement_options(const service_bounds& bounds)
{
    layout_controller_options options;
    options.fetch_interval = watch_options(bounds).watch_interval;
    return options;
}

/// Crashes are rare: long waits keep the calls few.
store_watcher_options crash_watch_options(const service_bounds& bounds)
{
    store_watcher_options options = short_watch_options(bounds);
    options.watch_time = 10s;
    return options;
}

/// Short, as streams wait for the repair of a pipeline while nobody leads.
lease_settings placement_lease()
{
    lease_settings lease;
    lease.term = 3s;
    lease.renew_interval = 1s;
    lease.drift_margin = 300ms;
    lease.retry_interval = 300ms;
    lease.call_timeout = short_call_time;
    return lease;
}

std::string random_life(std::mt19937_64& random)
{
    return fmt::format("{:016x}", random());
}

} // namespace

relay_process::relay_process(
    node_settings settings, platform_adapter adapter, time_point started_at)
    : settings{std::move(settings)}
    , adapter{std::move(adapter)}
    , started_at{started_at}
    , random{std::random_device{}()}
    , pipelines{this->time, this->board.fleet}
    , traffic{
          this->board,
          this->adapter.kinds,
          this->time,
          [this]
          {
              this->on_fleet();
          }}
    , config_view{
          this->stores_of_views(),
          this->traffic.config_consumer(),
          this->time,
          this->settings.bounds,
          {[this]
           {
               this->post_progress();
           },
           [] {}},
          this->random}
    , servers_view{
          this->stores_of_views(),
          this->traffic.servers_consumer(),
          this->time,
          this->settings.bounds,
          {[this]
           {
               this->post_progress();
           },
           [this]
           {
               this->traffic.record_store_contact();
           }},
          this->random}
    , crashes{this->adapter.objects, this->time}
    , crashes_watch{
          this->adapter.lagging_objects,
          {&this->crashes},
          this->time,
          crash_watch_options(this->settings.bounds),
          this->random()}
    , census{
          {this->settings.self, this->settings.notices},
          this->adapter.objects,
          this->adapter.lagging_objects,
          this->time}
    , inquiry{this->board, this->adapter.engines, this->time}
    , layout{
          this->board,
          this->adapter.engines,
          this->inquiry,
          this->time,
          placement_options(this->settings.bounds)}
    , duty{
          lease_client{
              duty_id{"placement"},
              leader_lease{
                  this->settings.self,
                  random_life(this->random),
                  placement_lease()},
              this->adapter.objects,
              this->time},
          [this](const leadership& led, const std::function<bool()>& leads)
          {
              return this->layout.step(led, leads);
          },
          [this]
          {
              return !this->is_cut_off;
          },
          [this]
          {
              // Also where another leads: it notes since when work is due.
              const bool is_due = this->layout.is_takeover_due();
              return is_due && !this->hears_leader();
          },
          [this]
          {
              this->note_store();
              this->traffic.expire_servers();
              this->traffic.apply_waiting_config();
              this->inquiry.require(
                  this->duty.is_leader()
                      ? engine_faults::loss_evidence::own_probe
                      : engine_faults::loss_evidence::any_instances);
              this->ask_suspects();
              // A store that does not answer must not hold up repairs.
              if (!this->store_is_lost)
              {
                  this->crashes.publish();
                  this->census.step();
              }
              this->traffic.set_lost_engines(this->inquiry.lost());
              this->survey_if_blind();
          }}
    , notices{
          this->io.get_executor(),
          {[this](const instance_id& from, const std::string& host)
           {
               return this->census.has_peer(from, host);
           },
           [this](const peer_message& message)
           {
               this->on_peer_message(message);
           }}}
    , pool{this->io.get_executor(), this->time}
    , rate_limits{this->io.get_executor(), this->time, this->settings.self}
    , backoff{this->time, {}}
    , stalls{this->io.get_executor(), this->time}
    , relay{
          this->io.get_executor(),
          this->time,
          this->settings,
          this->board,
          this->adapter.codec,
          this->pipelines,
          this->servers,
          this->inquiry,
          this->crashes,
          this->stalls,
          this->pool,
          this->rate_limits,
          this->backoff,
          this->metrics,
          this->random,
          {}}
    , server{
          this->io,
          this->relay,
          {[this]
           {
               return this->update_readiness() == readiness::ready;
           },
           [this]
           {
               return this->metrics_text();
           },
           [this](const std::string& host)
           {
               return this->census.has_host(host);
           }}}
    , signals{this->io, SIGTERM, SIGINT, SIGHUP}
    , drain_timer{this->io}
    , upkeep_timer{this->io}
    , watch_timer{this->io}
    , demand_timer{this->io}
    , demand{this->settings.self, {}}
    , reload_retry{first_reload_retry}
{
}

void relay_process::run()
{
    this->server.start();
    this->crashes.set_share(
        [this](const crash_news& news)
        {
            this->tell_crash_news(news);
        });
    this->rate_limits.set_send(
        [this](
            const limit_message& message,
            const std::optional<instance_id>& receiver)
        {
            this->send_limit_message(message, receiver);
        });
    this->open_notices();
    this->wait_for_signal();
    this->traffic.set_config_source(
        [this]() -> std::string_view
        {
            return this->config_view.reads_copy() ? "copy" : "store";
        });
    this->relay.config_age = [this]
    {
        return this->traffic.is_config_superseded()
                   ? std::nullopt
                   : this->time_since_complete(this->config_view);
    };
    this->relay.servers_age = [this]
    {
        return this->time_since_complete(this->servers_view);
    };
    this->config_view.start();
    this->servers_view.start();
    this->crashes_watch.start();
    this->duty.start();
    this->next_reload = this->time.now() + reload_interval;
    this->keep_up();
    this->supervise_watches();
    this->share_demand();
    log::event(
        log::level::info,
        log::channel::main,
        "started",
        {{"instance", this->settings.self.str()},
         {"zone", this->settings.zone.str()}});
    run_handlers(this->io);
}

void relay_process::start_later_watches(time_point now)
{
    const bool is_due = this->traffic.is_initialized() ||
                        now - this->started_at >= longest_first_read;
    if (this->has_all_watches || !is_due)
    {
        return;
    }
    this->config_view.start_short_watch();
    this->servers_view.start_short_watch();
    this->has_all_watches = true;
}

void relay_process::keep_up()
{
    call_after(
        this->upkeep_timer,
        upkeep_interval,
        [this]
        {
            this->keep_up();
        });
    this->pool.close_idle();
    const time_point now = this->time.now();
    this->update_readiness();
    this->try_to_open_notices();
    this->start_later_watches(now);
    if (now >= this->next_reload)
    {
        // The file may change without a signal.
        this->on_reload();
    }
    // A first list that hangs does not count as failed yet.
    const bool starts_blind = !this->traffic.is_initialized() &&
                              now - this->started_at >= outage_after;
    this->relay.store_is_lost = starts_blind || this->store_is_lost;
    if (this->census.count() > 0)
    {
        set_instances(this->relay, this->census.count());
    }
    const std::size_t rank = this->census.rank();
    this->config_view.freshness.set_rank(rank);
    this->servers_view.freshness.set_rank(rank);
    this->update_rate_limits();
    this->repeat_crash_news();
}

watch_hub_status relay_process::store_status() const
{
    return this->servers_view.short_watch_status();
}

store_view::stores relay_process::stores_of_views() const
{
    return {
        this->adapter.objects,
        this->adapter.lagging_watches,
        this->adapter.lagging_objects};
}

std::optional<duration>
relay_process::time_since_complete(const store_view& view) const
{
    const auto complete_at = view.freshness.complete_at();
    return complete_at ? std::optional{this->time.now() - *complete_at}
                       : std::nullopt;
}

void relay_process::supervise_watches()
{
    call_after(
        this->watch_timer,
        watch_check_interval,
        [this]
        {
            this->supervise_watches();
        });
    this->check_watches();
    this->share_progress();
    this->share_reach();
}

void relay_process::check_watches()
{
    for (store_view* const view : {&this->config_view, &this->servers_view})
    {
        const auto reason = view->end_useless_watch();
        if (!reason)
        {
            continue;
        }
        ++this->watches_ended;
        const revision position = view->status().position;
        log::event(
            log::level::warning,
            log::channel::store,
            "watch_ended",
            {{"reason", *reason},
             {"kind", view == &this->config_view ? "config" : "servers"},
             {"revision", change_number_of(position)},
             {"era", era_of(position).value()}});
    }
}

void relay_process::note_store()
{
    const auto status = this->store_status();
    const bool lost = status.failing_since.has_value();
    if (lost == this->store_is_lost)
    {
        return;
    }
    this->store_is_lost = lost;
    if (!lost)
    {
        // It may have forgotten the watches in flight.
        this->config_view.interrupt();
        this->servers_view.interrupt();
    }
    log::event(
        lost ? log::level::warning : log::level::info,
        log::channel::store,
        lost ? "store_lost" : "store_regained",
        {{"revision", change_number_of(status.position)},
         {"era", era_of(status.position).value()},
         {"failures", status.counts.failures}});
}

void relay_process::on_fleet()
{
    this->pipelines.refresh();
    this->duty.wake();
    const auto fleet = this->board.fleet.load();
    for (const server_id& server : this->backoff.closed())
    {
        if (const auto listed = find_server(*fleet, server))
        {
            this->backoff.on_boot(server, listed->started_at_ms);
        }
    }
}

void relay_process::ask_suspects()
{
    // The leader repairs losses that others met, so it asks about them too.
    const auto reports = this->inquiry.probe_suspected(
        this->duty.is_leader() ? engine_faults::remote_reports::included
                               : engine_faults::remote_reports::excluded);
    // The store tells what engines hold with fewer delays than their reports,
    // as long as it tells anything.
    if (this->store_is_lost)
    {
        this->traffic.apply_engine_reports(reports);
    }
}

void relay_process::survey_if_blind()
{
    const auto failing_since = this->store_status().failing_since;
    const time_point now = this->time.now();
    const bool is_due = failing_since && now - *failing_since >= outage_after &&
                        now - this->last_survey >= survey_interval &&
                        !this->pipelines.covers_every_zone();
    if (!is_due)
    {
        return;
    }
    const auto reports = this->inquiry.probe_all();
    this->traffic.apply_engine_reports(reports);
    this->last_survey = this->time.now();
    log::event(
        log::level::info,
        log::channel::control,
        "engines_surveyed",
        {{"answers", reports.size()},
         {"store_failing_ms",
          std::chrono::duration<double, std::milli>{now - *failing_since}
              .count()}});
}

void relay_process::wait_for_signal()
{
    this->signals.async_wait(
        [this](io_error error, int number)
        {
            if (error)
            {
                return;
            }
            this->wait_for_signal();
            if (number == SIGHUP)
            {
                this->on_reload();
            }
            else
            {
                this->on_stop();
            }
        });
}

void relay_process::on_reload()
{
    const auto read = this->adapter.reload();
    const duration pause = read ? reload_interval : this->reload_retry;
    this->next_reload = this->time.now() + pause;
    this->reload_retry =
        read ? first_reload_retry : std::min(pause * 2, reload_interval);
    const bool changed = read && read->bounds != this->settings.bounds;
    if (changed)
    {
        this->settings.bounds = read->bounds;
    }
    log::event(
        read ? log::level::info : log::level::error,
        log::channel::main,
        "reloaded",
        {{"valid", read.has_value()}, {"changed", changed}});
}

void relay_process::on_stop()
{
    if (this->relay.draining)
    {
        return;
    }
    log::event(
        log::level::info,
        log::channel::main,
        "stopping",
        {{"active_requests", this->relay.active_requests},
         {"open_connections", this->relay.open_connections}});
    const time_point now = this->time.now();
    this->drain_ends = now + this->settings.bounds.stop_grace - kill_margin;
    this->relay.stop.begin(now, this->drain_ends);
    this->server.begin_drain();
    this->duty.release();
    this->duty.wake();
    // Whatever becomes of the farewell, the process ends.
    run_guarded(
        "limits",
        [this]
        {
            this->rate_limits.leave();
        });
    this->drain();
}

void relay_process::drain()
{
    call_after(
        this->drain_timer,
        drain_poll,
        [this]
        {
            this->drain();
        });
    const time_point now = this->time.now();
    if (this->accepts && !this->relay.stop.is_unnoticed(now))
    {
        this->accepts = false;
        this->server.stop_accepting();
    }
    const bool is_done = !this->accepts && this->relay.active_requests == 0;
    const bool must_end = now >= this->drain_ends;
    if (is_done || must_end)
    {
        log::event(
            must_end && !is_done ? log::level::warning : log::level::info,
            log::channel::main,
            "stopped",
            {{"cut_off", this->relay.active_requests}});
        log::finish_background_output();
        // The watches' threads wait for the store longer than is left.
        std::_Exit(EXIT_SUCCESS);
    }
}

} // namespace fireflysail
