#include "main/instance_parts.hpp"

#include "common/log.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <random>
#include <thread>

namespace fireflysail
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds queue_tick{10};
constexpr milliseconds planning_tick{50};
constexpr milliseconds sharing_tick{50};
constexpr milliseconds settling_tick{1'000};
constexpr milliseconds ordering_tick{500};
constexpr milliseconds sweep_interval{10'000};
constexpr milliseconds longest_wait_for_pipelines{3'000};
// Longer than a watch may wait for a change, which is no sign of an outage.
constexpr milliseconds patience_with_store{6'000};
constexpr milliseconds settle_limit{5'000};
constexpr milliseconds settle_pause{100};

constexpr std::size_t peer_call_threads = 6;
constexpr std::size_t most_waiting_calls = 256;

// A resolving call must not fail for lack of budget while claims pass, so
// claims leave room for it; see call_budget.
constexpr double writes_per_read = 0.5;

std::uint64_t draw_seed()
{
    std::random_device source;
    return (std::uint64_t{source()} << 32U) | source();
}

http_store_options store_options(const store_settings& chosen)
{
    http_store_options options;
    options.host = chosen.address.host;
    options.port = chosen.address.port;
    return options;
}

store_watcher_options watch_options(const store_settings& chosen)
{
    store_watcher_options options;
    options.watch_time = chosen.watch_wait;
    return options;
}

ledger_options ledger_settings(const store_settings& chosen)
{
    ledger_options options;
    options.call_time = chosen.call_timeout;
    return options;
}

editor_settings edit_settings(const store_settings& chosen)
{
    editor_settings options;
    options.call_timeout = chosen.call_timeout;
    return options;
}

call_rates rates_of(const store_settings& chosen)
{
    return {chosen.calls_per_second, chosen.calls_per_second * writes_per_read};
}

/// Its id names this life of the instance: a successor at the same address
/// must not answer for what it did.
peer describe_self(
    const settings& chosen, std::uint64_t seed, const clock& time)
{
    peer self;
    self.id = instance_id{
        fmt::format("{}.{:08x}", chosen.instance.id.str(), seed & 0xffffffffU)};
    self.address = chosen.peers.listen;
    self.zone = chosen.instance.zone;
    self.region = chosen.instance.region;
    self.life = incarnation{
        static_cast<std::uint64_t>(time.wall_now().time_since_epoch().count())};
    return self;
}

template <class Server>
nlohmann::json describe_server(const Server& server)
{
    return {
        {"id", server.id.str()},
        {"address",
         fmt::format("{}:{}", server.address.host, server.address.port)},
        {"zone", server.zone.str()},
        {"mark", to_string(server.mark)},
        {"healthy", server.healthy}};
}

nlohmann::json describe_servers(const fleet_snapshot& fleet)
{
    auto servers = nlohmann::json::array();
    for (const auto& server : fleet.engines)
    {
        servers.push_back(describe_server(server));
    }
    for (const auto& server : fleet.services)
    {
        servers.push_back(describe_server(server));
    }
    return servers;
}

} // namespace

instance::parts::parts(const settings& chosen, const clock& time)
    : chosen{chosen}
    , time{time}
    , seed{draw_seed()}
    , self{describe_self(chosen, seed, time)}
    , objects{store_options(chosen.store), time}
    , budget{rates_of(chosen.store), time.now()}
    , resolving{objects, budget, call_priority::resolve, time}
    , claiming{objects, budget, call_priority::claim, time}
    , configuring{objects, budget, call_priority::configuration, time}
    , cleaning{objects, budget, call_priority::status, time}
    , lists{board.lists}
    , fleet{board.fleet}
    , hub{configuring, {&lists, &fleet}, time, watch_options(chosen.store), seed}
    , calls{peer_call_threads, most_waiting_calls}
    , client{self.id, {{chosen.peers.key}}}
    , gossip{
          self,
          chosen.peers.seeds,
          seed,
          {time, client, calls, board.peers}}
    , limits{
          self.id, {time, client, calls, board.peers, board.lists, gossip}}
    , plan_gate{limits.client(), time}
    , handover{client, board.peers, lists, fleet}
    , claims{claiming, resolving}
    , inquiries{time, client, board.peers}
    , ledger{ledger_settings(chosen.store), self.id, claims, inquiries, pauses, time}
    , sweeper{
          {},
          cleaning,
          [this](std::size_t shard)
          {
              const auto view = this->gossip.view_for_limits();
              const workspace_id name{fmt::format("claims-{}", shard)};
              return owner_of(name, view.live) == this->self.id;
          },
          time}
    , ids{self.id, seed}
    , engines{time, chosen.routing.connect_timeout}
    , services{chosen.routing.connect_timeout}
    , router{time, board.fleet}
    , crashes{time}
    , recoveries{time, seed}
    , completions{completion_service::parts{
          time,
          engines,
          router,
          crashes,
          recoveries,
          ids,
          metrics,
          chosen.routing.max_attempts,
          chosen.routing.min_silence,
          chosen.routing.max_silence,
          chosen.routing.queue_limit}}
    , service_calls{time, board.fleet, services, recoveries, ledger}
    , shared{gossip, fleet, crashes}
    , orders{self.id, {time, configuring, engines, board.fleet, gossip}}
    , editor{configuring, time, edit_settings(chosen.store)}
    , reader{configuring, time}
    , marks{
          editor,
          fleet,
          [](const mark_record& mark)
          {
              log::info(
                  log::channel::control,
                  "{} is marked at version {}",
                  mark.server.str(),
                  mark.version.value());
          }}
    , edits{editor, reader, marks, seed}
    , callers{
          chosen.caller_api,
          {time,
           board,
           ids,
           completions,
           service_calls,
           plan_gate,
           metrics,
           [this]
           {
               return this->ready.load(std::memory_order_relaxed);
           }}}
    , operators{
          chosen.admin_api,
          {board,
           edits,
           [this]
           {
               return describe_servers(*this->board.fleet.load()).dump();
           },
           [this]
           {
               return this->status();
           },
           [this]
           {
               return this->all_metrics();
           },
           [this]
           {
               return this->ready.load(std::memory_order_relaxed);
           }}}
    , prober{board.fleet, fleet, engines, chosen.routing.load_poll_interval}
    , planning{
          planning_tick,
          [this]
          {
              this->plan();
          }}
    , queueing{
          queue_tick,
          [this]
          {
              this->completions.tick();
          }}
    , sharing{
          sharing_tick,
          [this]
          {
              this->share();
          }}
    , settling{
          settling_tick,
          [this]
          {
              this->settle();
          }}
    , ordering{
          ordering_tick,
          [this]
          {
              this->orders.tick();
          }}
{
    this->gossip.add_handler(this->dispatcher);
    this->limits.add_handler(this->dispatcher);
    this->handover.add_handlers(this->dispatcher);
    add_claim_handler(this->dispatcher, this->self.id, this->ledger);
}

bool instance::parts::start_peers()
{
    auto started = rpc_server::start(
        {this->chosen.peers.listen, this->chosen.peers.listen},
        {{this->chosen.peers.key}},
        this->dispatcher);
    if (!started)
    {
        return false;
    }
    this->peer_server = std::move(started).value();
    return true;
}

void instance::parts::plan()
{
    this->fleet.publish_changes();
    this->router.refresh();
    this->completions.set_slots(this->gossip.live_count());
    this->update_ready();
}

/// Ready once the lists are known and every model has a pipeline, or the wait
/// for pipelines has been long enough: an instance must not stay out of service
/// because some model has lost its engines. Never taken back.
void instance::parts::update_ready()
{
    if (this->ready || this->board.lists.load()->plans.empty())
    {
        return;
    }
    const auto now = this->time.now();
    if (!this->lists_known_at)
    {
        this->lists_known_at = now;
    }
    const bool routes_known =
        this->router.covers_all_models() ||
        now - *this->lists_known_at > longest_wait_for_pipelines;
    this->ready = routes_known && this->limits.is_ready();
}

void instance::parts::share()
{
    this->gossip.tick();
    this->limits.tick();
    this->shared.tick();
}

void instance::parts::settle()
{
    this->ledger.settle();
    const auto now = this->time.now();
    const auto last_answer = this->hub.status().last_answer;
    if (!last_answer || now - *last_answer > patience_with_store)
    {
        this->handover.take_from_peers();
        return;
    }
    if (now >= this->next_sweep)
    {
        this->next_sweep = now + sweep_interval;
        this->sweeper.step();
    }
}

void instance::parts::settle_ledger()
{
    const auto end = this->time.now() + settle_limit;
    while (this->ledger.counts().unrecorded > 0 && this->time.now() < end)
    {
        this->ledger.settle();
        std::this_thread::sleep_for(settle_pause);
    }
}

std::string instance::parts::status() const
{
    using nlohmann::json;
    const auto running_lists = this->lists.status();
    const auto now_peers = this->board.peers.load();
    json peers = json::array();
    constexpr std::array states{"alive", "suspect", "dead", "left"};
    for (const auto& other : now_peers->peers)
    {
        peers.push_back(
            {{"id", other.id.str()},
             {"state", states.at(static_cast<std::size_t>(other.state))}});
    }
    const auto last_answer = this->hub.status().last_answer;
    json store{{"answering", last_answer.has_value()}};
    if (last_answer)
    {
        store["last_answer_ms_ago"] = std::chrono::duration_cast<milliseconds>(
                                          this->time.now() - *last_answer)
                                          .count();
    }
    return json{
        {"instance", this->self.id.str()},
        {"ready", this->ready.load()},
        {"lists",
         {{"version", running_lists.applied.value()},
          {"digest", fmt::format("{:016x}", running_lists.digest)},
          {"plans", running_lists.plans},
          {"entitlements", running_lists.entitlements},
          {"workspaces_without_entitlement",
           running_lists.workspaces_without_entitlement},
          {"malformed", running_lists.malformed_now}}},
        {"running", this->callers.running()},
        {"waiting", this->completions.waiting()},
        {"store", std::move(store)},
        {"servers", describe_servers(*this->board.fleet.load())},
        {"peers", std::move(peers)}}
        .dump();
}

std::string instance::parts::all_metrics() const
{
    auto text = this->metrics.to_prometheus();
    auto out = std::back_inserter(text);
    const auto gauge = [&out](std::string_view name, auto value)
    {
        fmt::format_to(out, "fireflysail_{} {}\n", name, value);
    };
    const auto counts = this->client.counts();
    gauge("peer_calls_total", counts.calls);
    gauge("peer_bytes_sent_total", counts.bytes_sent);
    gauge("peer_bytes_received_total", counts.bytes_received);
    const auto running_lists = this->lists.status();
    gauge("lists_version", running_lists.applied.value());
    gauge("lists_malformed", running_lists.malformed_now);
    gauge(
        "lists_stale_snapshots_total", running_lists.counters.stale_snapshots);
    const auto watch = this->hub.status();
    gauge("store_lists_total", watch.counts.lists);
    gauge("store_watches_total", watch.counts.watches);
    gauge("store_watch_failures_total", watch.counts.failures);
    const auto ledger_counts = this->ledger.counts();
    gauge("ledger_in_flight", ledger_counts.in_flight);
    gauge("ledger_unrecorded", ledger_counts.unrecorded);
    const auto calls_made = this->budget.counts();
    constexpr std::array priorities{
        "resolve", "claim", "configuration", "status"};
    for (std::size_t i = 0; i < priorities.size(); ++i)
    {
        fmt::format_to(
            out,
            "fireflysail_store_calls_total{{priority=\"{0}\"}} {1}\n"
            "fireflysail_store_calls_refused_total{{priority=\"{0}\"}} {2}\n",
            priorities.at(i),
            calls_made.granted.at(i),
            calls_made.refused.at(i));
    }
    gauge("requests_running", this->callers.running());
    gauge("requests_waiting", this->completions.waiting());
    gauge("peers", this->board.peers.load()->peers.size());
    return text;
}

} // namespace fireflysail
