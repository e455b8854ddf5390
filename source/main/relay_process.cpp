#include "main/relay_process.hpp"

#include "common/log.hpp"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iterator>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// The balancer asks every second and takes an instance out after two misses.
constexpr duration balancer_notice = 2500ms;

/// The process ends by itself this long before it would be killed.
constexpr duration kill_margin = 600ms;

constexpr duration drain_poll = 50ms;

/// The node file is read again this often.
constexpr duration reload_interval = 30s;

/// Idle connections are looked through this often.
constexpr duration upkeep_interval = 1s;

/// An instance without a pipeline says that it is ready all the same after
/// this time, as it serves the plain services.
constexpr duration longest_warm_up = 8s;

/// The store must have failed for this long before engines are asked what they
/// hold, and callers are told to stay away; a single lost call is no outage.
constexpr duration outage_after = 500ms;

/// Each survey asks every engine once, and each question is paid for.
constexpr duration survey_interval = 1s;

/// Part of the time in which a leaving server must be left that changes may
/// wait to be fetched together.
constexpr int watch_interval_divisor = 3;

/// Watches that add nothing to the configuration and the servers wait for
/// these, but no longer than this: where all instances start together, what the
/// store sends them takes most of a second.
constexpr duration longest_first_read = 3s;

/// Progress is told at least this often, and at once when it grows.
constexpr duration progress_interval = 300ms;

/// Watches are looked through this often.
constexpr duration watch_check_interval = 250ms;

/// Announcements after the start: one may be lost.
constexpr int max_announcements = 2;

/// Other instances that are told again, each time others, of quarantined
/// prompts.
constexpr std::size_t repeated_to = 3;

/// What a leader told counts for this long: three tellings.
constexpr duration leader_lifetime = 1600ms;

store_watcher_options watch_options(const service_bounds& bounds)
{
    store_watcher_options options;
    options.list_time = 2s;
    // The freshness of the view asks for shorter ones where it must.
    options.watch_time = 15s;
    options.list_after_failure = true;
    options.watch_interval = bounds.drain / watch_interval_divisor;
    options.relist_spread = 200ms;
    options.retry.first = 100ms;
    options.retry.longest = 1s;
    return options;
}

/// A view that no instance confirms any more is read anew before a change in it
/// is due to be in force.
freshness_options freshness(const service_bounds& bounds)
{
    const duration bound = std::min(bounds.drain, bounds.config_in_force);
    const store_watcher_options watch = watch_options(bounds);
    freshness_options options;
    options.confirm_interval = bound / 2;
    options.longest_watch = watch.watch_time;
    options.lifetime = bound * 9 / 10;
    options.max_lag = watch.watch_interval + 300ms;
    return options;
}

/// Shows within its time whether the store answers at all. Shorter than the gap
/// in which entries of servers lapse.
store_watcher_options bell_options(const service_bounds& bounds)
{
    store_watcher_options options = watch_options(bounds);
    options.watch_time = 2500ms;
    options.may_lag = true;
    options.list_after_failure = false;
    return options;
}

layout_controller_options placement_options(const service_bounds& bounds)
{
    layout_controller_options options;
    options.fetch_interval = watch_options(bounds).watch_interval;
    return options;
}

/// Crashes are rare: long waits keep the calls few.
store_watcher_options crash_watch_options(const service_bounds& bounds)
{
    store_watcher_options options = bell_options(bounds);
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

relay_process::relay_process(node_settings settings, platform_adapter adapter)
    : settings{std::move(settings)}
    , adapter{std::move(adapter)}
    , started_at{this->time.now()}
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
    , config_freshness{this->time, freshness(this->settings.bounds)}
    , servers_freshness{this->time, freshness(this->settings.bounds)}
    , config_source{
          this->adapter.objects,
          this->adapter.lagging_watches,
          this->config_freshness,
          this->time}
    , servers_source{
          this->adapter.objects,
          this->adapter.lagging_watches,
          this->servers_freshness,
          this->time}
    , config_progress{
          this->traffic.config_consumer().kinds(),
          [this](const view_position& view)
          {
              this->on_view(this->config_freshness, this->config_source, view);
          }}
    , servers_progress{
          this->traffic.servers_consumer().kinds(),
          [this](const view_position& view)
          {
              this->on_view(
                  this->servers_freshness, this->servers_source, view);
          }}
    , config_watch{
          this->config_source,
          {&this->traffic.config_consumer(), &this->config_progress},
          this->time,
          watch_options(this->settings.bounds),
          this->random()}
    , servers_watch{
          this->servers_source,
          {&this->traffic.servers_consumer(), &this->servers_progress},
          this->time,
          watch_options(this->settings.bounds),
          this->random()}
    , config_bell{
          this->traffic.config_consumer().kinds(), this->time, [] {}}
    , servers_bell{
          this->traffic.servers_consumer().kinds(),
          this->time,
          [this]
          {
              this->traffic.record_store_contact();
          }}
    , config_bell_watch{
          this->adapter.lagging_objects,
          {&this->config_bell},
          this->time,
          bell_options(this->settings.bounds),
          this->random()}
    , servers_bell_watch{
          this->adapter.lagging_objects,
          {&this->servers_bell},
          this->time,
          bell_options(this->settings.bounds),
          this->random()}
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
              // Also where another leads: it notes since when work is due.
              const bool is_due = this->layout.is_takeover_due();
              return is_due && !this->hears_leader();
          },
          [this]
          {
              this->note_store();
              this->traffic.expire_servers();
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
               return this->is_ready();
           },
           [this]
           {
               return this->metrics_text();
           }}}
    , signals{this->io, SIGTERM, SIGINT, SIGHUP}
    , drain_timer{this->io}
    , upkeep_timer{this->io}
    , watch_timer{this->io}
{
}

bool relay_process::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    if (const io_error failed = this->server.start())
    {
        log::event(
            log::level::error,
            log::channel::main,
            "cannot_listen",
            {{"error", failed.message()}});
        return false;
    }
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
    this->config_watch.start();
    this->servers_watch.start();
    this->crashes_watch.start();
    this->duty.start();
    this->next_reload = this->time.now() + reload_interval;
    this->keep_up();
    this->supervise_watches();
    log::event(
        log::level::info,
        log::channel::main,
        "started",
        {{"instance", this->settings.self.str()},
         {"zone", this->settings.zone.str()}});
    this->io.run();
    return true;
}

void relay_process::start_later_watches(time_point now)
{
    const bool is_due = this->traffic.is_initialized() ||
                        now - this->started_at >= longest_first_read;
    if (this->has_all_watches || !is_due)
    {
        return;
    }
    this->has_all_watches = true;
    this->config_bell_watch.start();
    this->servers_bell_watch.start();
}

void relay_process::keep_up()
{
    this->pool.close_idle();
    const time_point now = this->time.now();
    this->start_later_watches(now);
    if (now >= this->next_reload)
    {
        // The file may change without a signal.
        this->next_reload = now + reload_interval;
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
    this->config_freshness.set_rank(rank);
    this->servers_freshness.set_rank(rank);
    this->update_rate_limits();
    this->repeat_crash_news();
    this->upkeep_timer.expires_after(upkeep_interval);
    this->upkeep_timer.async_wait(
        [this](io_error error)
        {
            if (!error)
            {
                this->keep_up();
            }
        });
}

watch_hub_status relay_process::store_status() const
{
    return this->servers_bell_watch.status();
}

void relay_process::on_view(
    view_freshness& freshness,
    const vouched_store& source,
    const view_position& view)
{
    freshness.on_view(view);
    if (const auto began = source.store_read_at())
    {
        freshness.on_confirmed(*began);
    }
    asio::post(
        this->io,
        [this]
        {
            this->share_progress();
        });
}

void relay_process::supervise_watches()
{
    this->check_watches();
    this->share_progress();
    this->watch_timer.expires_after(watch_check_interval);
    this->watch_timer.async_wait(
        [this](io_error error)
        {
            if (!error)
            {
                this->supervise_watches();
            }
        });
}

void relay_process::check_watches()
{
    const auto log_end = [this](std::string_view reason)
    {
        ++this->watches_ended;
        log::event(
            log::level::warning,
            log::channel::store,
            "watch_ended",
            {{"reason", reason},
             {"servers_revision",
              this->servers_watch.status().position.value()},
             {"config_revision",
              this->config_watch.status().position.value()}});
    };
    const bool overlooked =
        this->servers_bell.is_overlooked(this->servers_watch.status()) ||
        this->config_bell.is_overlooked(this->config_watch.status());
    if (overlooked)
    {
        log_end("copy_ahead");
        this->config_source.interrupt_watches();
        this->servers_source.interrupt_watches();
    }
    for (vouched_store* const source :
         {&this->config_source, &this->servers_source})
    {
        if (const auto defect = source->interrupt_if_defective())
        {
            log_end(
                *defect == watch_defect::overlooked_change ? "peer_ahead"
                                                           : "unconfirmed");
        }
    }
}

store_progress relay_process::current_progress() const
{
    store_progress reached;
    reached.from = this->settings.self;
    reached.leads = this->duty.holds_lease();
    const bool confirms =
        this->config_freshness.confirms() || this->servers_freshness.confirms();
    const bool is_reader = this->census.rank() < freshness_options{}.readers;
    if (!this->traffic.is_initialized() || !(confirms || is_reader))
    {
        return reached;
    }
    reached.config = this->config_progress.position();
    reached.servers = this->servers_progress.position();
    const auto config_at = this->config_freshness.confirmed_at();
    const auto servers_at = this->servers_freshness.confirmed_at();
    if (confirms && config_at && servers_at)
    {
        reached.age = this->time.now() - std::min(*config_at, *servers_at);
    }
    return reached;
}

void relay_process::share_progress()
{
    const time_point now = this->time.now();
    const store_progress reached = this->current_progress();
    const bool has_grown = reached.config != this->shared_progress.config ||
                           reached.servers != this->shared_progress.servers ||
                           reached.leads != this->shared_progress.leads;
    const bool is_due =
        (reached.age || reached.leads) && now >= this->next_progress;
    if (!has_grown && !is_due)
    {
        return;
    }
    this->next_progress = now + progress_interval;
    this->shared_progress = reached;
    this->send_to_peers(reached);
}

bool relay_process::hears_leader() const
{
    return this->time.now() - this->leader_heard_at.load() < leader_lifetime;
}

void relay_process::on_peer_message(const peer_message& message)
{
    if (const auto* limit = std::get_if<limit_notice>(&message))
    {
        this->rate_limits.on_message(limit->from, limit->message);
        return;
    }
    if (const auto* progress = std::get_if<store_progress>(&message))
    {
        if (progress->leads)
        {
            this->leader_heard_at = this->time.now();
        }
        const auto age = this->census.is_outranked_by(progress->from)
                             ? progress->age
                             : std::nullopt;
        this->config_freshness.on_report(progress->config, age);
        this->servers_freshness.on_report(progress->servers, age);
        return;
    }
    if (const auto* crash = std::get_if<crash_notice>(&message))
    {
        this->crashes.on_peer_news(crash->news);
        return;
    }
    const auto& told = std::get<notice>(message);
    if (told.news == engine_observation::congested ||
        told.news == engine_observation::leaving)
    {
        this->relay.congestion.report(told.server, this->time.now());
    }
    if (told.news == engine_observation::leaving)
    {
        this->servers.on_leaving_hint(told.server, this->time.now());
    }
    if (told.news == engine_observation::congested ||
        told.news == engine_observation::leaving)
    {
        return;
    }
    this->inquiry.on_peer_observation(told.from, told.server, told.news);
    this->doubt(told.server, told.news);
    if (this->duty.is_leader())
    {
        this->duty.wake();
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
        this->config_source.interrupt_watches();
        this->servers_source.interrupt_watches();
    }
    log::event(
        lost ? log::level::warning : log::level::info,
        log::channel::store,
        lost ? "store_lost" : "store_regained",
        {{"revision", status.position.value()},
         {"failures", status.counts.failures}});
}

void relay_process::open_notices()
{
    this->inquiry.set_handlers(
        {[this](const server_id& server, engine_observation news)
         {
             this->tell_others(server, news);
         },
         [this]
         {
             this->duty.wake();
         },
         [this](const server_id& server, std::uint64_t boot)
         {
             this->on_leaving(server, boot);
         },
         [this](const server_id& server)
         {
             return this->backoff.until(server).has_value();
         }});
    this->relay.on_leaving = [this](const server_id& server, std::uint64_t boot)
    {
        this->on_leaving(server, boot);
    };
    if (this->settings.notices.port == 0)
    {
        return;
    }
    this->relay.share_congestion = [this](const server_id& first_stage)
    {
        this->send_to_peers(notice{
            this->settings.self, first_stage, engine_observation::congested});
    };
    if (const auto failed = this->notices.open(this->settings.notices))
    {
        // Hints only: all else goes on without them.
        log::event(
            log::level::error,
            log::channel::main,
            "cannot_take_notices",
            {{"error", failed.message()}});
    }
}

void relay_process::on_leaving(const server_id& server, std::uint64_t boot)
{
    if (!this->traffic.set_leaving(server, boot))
    {
        return;
    }
    log::event(
        log::level::info,
        log::channel::routing,
        "server_says_it_leaves",
        {{"server", server.str()}, {"boot", boot}});
    this->tell_others(server, engine_observation::leaving);
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

void relay_process::tell_others(
    const server_id& server, engine_observation news)
{
    asio::post(
        this->io,
        [this, server, news]
        {
            this->doubt(server, news);
            this->send_to_peers(notice{this->settings.self, server, news});
        });
}

void relay_process::send_limit_message(
    const limit_message& message, const std::optional<instance_id>& receiver)
{
    const limit_notice told{this->settings.self, message};
    if (!receiver)
    {
        this->send_to_peers(told);
        return;
    }
    const auto peers = this->census.peers();
    const auto found = std::ranges::find(*peers, *receiver, &peer_instance::id);
    if (found != peers->end())
    {
        this->notices.send(told, std::span{&found->address, 1});
    }
}

void relay_process::update_rate_limits()
{
    const auto peers = this->census.peers();
    std::vector<instance_id> ids;
    std::ranges::transform(*peers, std::back_inserter(ids), &peer_instance::id);
    this->rate_limits.set_peers(
        std::move(ids), this->census.count() > 0 ? 1 : unknown_instances);
    this->rate_limits.send_due_reports();
    if (this->announcements < max_announcements && !peers->empty())
    {
        // The others may still pass it over since it was stopped.
        ++this->announcements;
        this->rate_limits.announce();
    }
}

void relay_process::tell_crash_news(const crash_news& news)
{
    asio::post(
        this->io,
        [this, news]
        {
            this->send_to_peers(crash_notice{this->settings.self, news});
        });
}

void relay_process::repeat_crash_news()
{
    const auto news = this->crashes.news_to_repeat();
    if (news.empty())
    {
        return;
    }
    const auto peers = this->census.peers();
    std::vector<peer_instance> told;
    std::ranges::sample(
        *peers,
        std::back_inserter(told),
        static_cast<std::ptrdiff_t>(repeated_to),
        this->random);
    std::vector<endpoint> receivers;
    std::ranges::transform(
        told, std::back_inserter(receivers), &peer_instance::address);
    for (const crash_news& each : news)
    {
        this->notices.send(crash_notice{this->settings.self, each}, receivers);
    }
}

void relay_process::send_to_peers(const peer_message& message)
{
    std::vector<endpoint> receivers;
    const auto peers = this->census.peers();
    std::ranges::transform(
        *peers, std::back_inserter(receivers), &peer_instance::address);
    this->notices.send(message, receivers);
}

void relay_process::doubt(const server_id& server, engine_observation news)
{
    const bool is_doubtful = news != engine_observation::answered &&
                             news != engine_observation::leaving;
    if (is_doubtful)
    {
        this->stalls.doubt(server);
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

bool relay_process::is_ready() const
{
    if (this->relay.draining || !this->traffic.is_initialized())
    {
        return false;
    }
    return this->pipelines.covers_all_models() ||
           this->time.now() - this->started_at >= longest_warm_up;
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
        return since ? std::chrono::duration<double>{this->time.now() - *since}
                           .count()
                     : 0.0;
    };
    add("active_requests", this->relay.active_requests);
    add("open_connections", this->relay.open_connections);
    add("config_version", config ? config->version : 0);
    add("config_age_seconds",
        age_of(config ? std::optional{config->read_at} : std::nullopt));
    add("fleet_revision", this->board.fleet.load()->version.value());
    add("pipelines", this->pipelines.first_stages().size());
    add("engines_avoided", this->inquiry.avoided().size());
    add("engines_lost", this->inquiry.lost().size());
    add("leads", this->duty.is_leader() ? 1 : 0);
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
    add("confirms_views", this->config_freshness.confirms() ? 1 : 0);
    add("config_view_age_seconds",
        age_of(this->config_freshness.confirmed_at()));
    add("servers_view_age_seconds",
        age_of(this->servers_freshness.confirmed_at()));
    add("watches_ended_total", this->watches_ended);
    add("store_failing_seconds", age_of(store.failing_since));
    add("store_failures_total", store.counts.failures);
    add("store_lists_total", store.counts.lists);
    add("store_watches_total", store.counts.watches);
    add("dropped_log_lines_total", log::dropped_lines());
    return text;
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
            if (number == SIGHUP)
            {
                this->on_reload();
            }
            else
            {
                this->on_stop();
            }
            this->wait_for_signal();
        });
}

void relay_process::on_reload()
{
    const auto read = this->adapter.reload();
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
    this->drain_began = this->time.now();
    this->relay.stop.begin(
        this->drain_began,
        this->drain_began + this->settings.bounds.stop_grace - kill_margin);
    this->rate_limits.leave();
    this->server.begin_drain();
    this->duty.release();
    this->duty.wake();
    this->drain();
}

void relay_process::drain()
{
    const duration passed = this->time.now() - this->drain_began;
    if (this->accepts && passed >= balancer_notice)
    {
        this->accepts = false;
        this->server.stop_accepting();
    }
    const bool is_done = !this->accepts && this->relay.active_requests == 0;
    const bool must_end =
        passed >= this->settings.bounds.stop_grace - kill_margin;
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
    this->drain_timer.expires_after(drain_poll);
    this->drain_timer.async_wait(
        [this](io_error error)
        {
            if (!error)
            {
                this->drain();
            }
        });
}

} // namespace fireflysail
