// What the process tells the other instances, and what it takes from them.

#include "main/relay_process.hpp"

#include "common/log.hpp"

#include <boost/asio/post.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Progress is told at least this often, and at once when it grows.
constexpr duration progress_interval = 300ms;

/// Announcements after the start: one may be lost.
constexpr int max_announcements = 2;

/// Other instances that are told again, each time others, of quarantined
/// prompts.
constexpr std::size_t repeated_to = 3;

/// An instance that is cut off says so this often.
constexpr duration reach_interval = 500ms;

/// What a leader told counts for this long: three tellings.
constexpr duration leader_lifetime = 1600ms;

} // namespace

void relay_process::post_progress()
{
    asio::post(
        this->io,
        [this]
        {
            this->share_progress();
        });
}

store_progress relay_process::current_progress() const
{
    store_progress reached;
    reached.from = this->settings.self;
    reached.leads = this->duty.holds_lease();
    const view_freshness& config = this->config_view.freshness;
    const view_freshness& servers = this->servers_view.freshness;
    const bool confirms = config.confirms() || servers.confirms();
    if (!this->traffic.is_initialized() || !(confirms || config.is_reader()))
    {
        return reached;
    }
    // A position must not be older than what confirms it.
    const auto config_at = config.confirmed_at();
    const auto servers_at = servers.confirmed_at();
    reached.config = this->config_view.position();
    reached.servers = this->servers_view.position();
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
    if (const auto* told = std::get_if<demand_notice>(&message))
    {
        this->on_demand(told->from, told->message);
        return;
    }
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
        this->config_view.freshness.on_report(progress->config, age);
        this->servers_view.freshness.on_report(progress->servers, age);
        return;
    }
    if (const auto* crash = std::get_if<crash_notice>(&message))
    {
        this->crashes.on_peer_news(crash->news);
        return;
    }
    if (const auto* reach = std::get_if<reach_notice>(&message))
    {
        this->on_peer_reach(*reach);
        return;
    }
    const auto& told = std::get<notice>(message);
    if (told.news == engine_observation::unanswered &&
        this->relay.peers.is_cut_off(told.from, this->time.now()))
    {
        return;
    }
    const bool leaves = told.news == engine_observation::leaving;
    if (leaves)
    {
        this->servers.on_leaving_hint(told.server, this->time.now());
    }
    if (leaves || told.news == engine_observation::congested)
    {
        this->relay.congestion.report(told.server, this->time.now());
        return;
    }
    this->inquiry.on_peer_observation(
        told.from,
        told.server,
        told.news,
        told.reaches_others ? engine_faults::reporter::reaches_others
                            : engine_faults::reporter::unchecked);
    this->doubt(told.server, told.news);
    if (this->duty.is_leader())
    {
        this->duty.wake();
    }
}

void relay_process::open_notices()
{
    this->inquiry.set_handlers(
        {[this](const server_id& server, engine_observation news)
         {
             this->tell_others(server, news);
         },
         [this](const server_id& server)
         {
             asio::post(
                 this->io,
                 [this, server]
                 {
                     this->relay.reach.on_failure(server);
                 });
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
    this->relay.share_congestion = [this](const server_id& first_stage)
    {
        this->send_to_peers(notice{
            this->settings.self, first_stage, engine_observation::congested});
    };
    this->relay.reach.set_on_change(
        [this]
        {
            this->on_reach_change();
        });
    this->try_to_open_notices();
}

void relay_process::on_reach_change()
{
    this->is_cut_off = this->relay.reach.is_cut_off();
    if (!this->is_cut_off)
    {
        this->inquiry.forget_own_failures();
    }
    this->duty.wake();
    this->share_reach();
}

void relay_process::share_reach()
{
    const bool is_cut_off = this->relay.reach.is_cut_off();
    const time_point now = this->time.now();
    const bool has_changed =
        std::exchange(this->shared_cut_off, is_cut_off) != is_cut_off;
    if (has_changed || (is_cut_off && now >= this->next_reach_notice))
    {
        this->next_reach_notice = now + reach_interval;
        this->send_to_peers(reach_notice{this->settings.self, is_cut_off});
    }
}

void relay_process::on_peer_reach(const reach_notice& told)
{
    const time_point now = this->time.now();
    const bool was_cut_off = this->relay.peers.is_cut_off(told.from, now);
    this->relay.peers.on_notice(told.from, told.is_cut_off, now);
    if (told.is_cut_off && this->inquiry.forget_reports(told.from))
    {
        this->duty.wake();
    }
    if (told.is_cut_off != was_cut_off)
    {
        log::event(
            log::level::info,
            log::channel::routing,
            "peer_reach_heard",
            {{"from", told.from.str()}, {"cut_off", told.is_cut_off}});
    }
}

void relay_process::try_to_open_notices()
{
    const endpoint& own = this->settings.notices;
    if (own.port == 0 || this->notices.is_open())
    {
        return;
    }
    if (const auto failed = this->notices.open(own))
    {
        // Hints only: all else goes on without them.
        log::event(
            log::level::error,
            log::channel::main,
            "cannot_take_notices",
            {{"address", fmt::format("{}:{}", own.host, own.port)},
             {"error", failed.message()}});
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
    asio::post(
        this->io,
        [this, server]
        {
            this->send_to_peers(notice{
                this->settings.self, server, engine_observation::leaving});
        });
}

void relay_process::tell_others(
    const server_id& server, engine_observation news)
{
    asio::post(
        this->io,
        [this, server, news]
        {
            this->doubt(server, news);
            // What this instance cannot reach may answer all others.
            const bool is_unsure = this->relay.reach.is_cut_off() ||
                                   this->relay.reach.is_in_doubt();
            if (news != engine_observation::unanswered || !is_unsure)
            {
                this->send_to_peers(
                    notice{this->settings.self, server, news, !is_unsure});
            }
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
    this->relay.peers.set_peers(peers);
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
    if (news != engine_observation::answered)
    {
        this->stalls.doubt(server);
    }
}

} // namespace fireflysail
