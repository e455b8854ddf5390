#include "relay/reach_prober.hpp"

#include "common/log.hpp"
#include "relay/backend_connection.hpp"

#include <absl/cleanup/cleanup.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Servers that are asked in one round.
constexpr std::size_t round_size = 4;

/// A server in the same region accepts well within this time.
constexpr duration connect_limit = 400ms;

/// Whether the error tells that the server, or the way to it, does not answer.
/// Others are of this instance, which may have no descriptor left.
bool is_unreachable(const io_error& failed)
{
    namespace error = asio::error;
    return failed == error::connection_refused ||
           failed == error::connection_reset ||
           failed == error::connection_aborted || failed == error::timed_out ||
           failed == error::host_unreachable ||
           failed == error::network_unreachable;
}

bool is_unsettled(const reach_monitor& monitor)
{
    return monitor.state() != reach_monitor::reach::sound;
}

} // namespace

struct reach_prober::state
{
    asio::any_io_executor executor;
    const clock& time;
    const blackboard& board;
    std::mt19937_64& random;
    asio::steady_timer pause;
    reach_monitor monitor{reach_monitor::options{}};
    std::function<void()> on_change = [] {};
    bool is_running = false;
    /// The prober is gone, and with it what the references name.
    bool is_stopped = false;
};

struct reach_prober::round
{
    std::size_t unanswered = 0;
    bool any_accepted = false;
    /// Cancelled when the outcome is known.
    asio::steady_timer decided;
};

reach_prober::reach_prober(
    const asio::any_io_executor& executor,
    const clock& time,
    const blackboard& board,
    std::mt19937_64& random)
    : shared{std::make_shared<state>(
          executor, time, board, random, asio::steady_timer{executor})}
{
}

reach_prober::~reach_prober()
{
    this->shared->is_stopped = true;
    this->shared->pause.cancel();
}

void reach_prober::on_failure(const server_id& server)
{
    state& own = *this->shared;
    own.monitor.on_failure(server, own.time.now());
    if (is_unsettled(own.monitor) && !std::exchange(own.is_running, true))
    {
        spawn_guarded(own.executor, "reach", run(this->shared));
    }
}

void reach_prober::on_contact()
{
    this->shared->monitor.on_contact();
}

bool reach_prober::is_cut_off() const
{
    return this->shared->monitor.state() == reach_monitor::reach::cut_off;
}

bool reach_prober::is_in_doubt() const
{
    return this->shared->monitor.state() == reach_monitor::reach::suspected;
}

void reach_prober::set_on_change(std::function<void()> call)
{
    this->shared->on_change = std::move(call);
}

std::vector<endpoint> reach_prober::draw_servers(const state& shared)
{
    const auto fleet = shared.board.fleet.load();
    std::vector<endpoint> all;
    const auto add = [&all](const auto& servers)
    {
        for (const auto& server : servers)
        {
            // One that leaves may be gone already.
            if (accepts_new_work(server.mark))
            {
                all.push_back(server.address);
            }
        }
    };
    add(fleet->engines);
    add(fleet->services);
    std::ranges::sort(all);
    const auto doubled = std::ranges::unique(all);
    all.erase(doubled.begin(), doubled.end());
    std::vector<endpoint> drawn;
    std::ranges::sample(
        all,
        std::back_inserter(drawn),
        static_cast<std::ptrdiff_t>(round_size),
        shared.random);
    return drawn;
}

asio::awaitable<void>
reach_prober::connect(std::shared_ptr<round> part_of, endpoint address)
{
    backend_connection probe{
        part_of->decided.get_executor(), std::move(address)};
    const io_error failed = co_await probe.open(connect_limit);
    --part_of->unanswered;
    part_of->any_accepted = part_of->any_accepted || !is_unreachable(failed);
    if (part_of->any_accepted || part_of->unanswered == 0)
    {
        part_of->decided.cancel();
    }
}

asio::awaitable<reach_monitor::round_outcome>
reach_prober::run_round(std::shared_ptr<state> shared)
{
    const auto servers = draw_servers(*shared);
    const auto current = std::make_shared<round>(
        servers.size(), false, asio::steady_timer{shared->executor});
    for (const endpoint& address : servers)
    {
        spawn_guarded(
            shared->executor, "reach probe", connect(current, address));
    }
    while (current->unanswered > 0 && !current->any_accepted)
    {
        co_await pause_for(current->decided, connect_limit);
    }
    co_return reach_monitor::round_outcome{
        servers.size(), current->any_accepted};
}

asio::awaitable<void> reach_prober::run(std::shared_ptr<state> shared)
{
    const absl::Cleanup ended = [&shared]
    {
        shared->is_running = false;
    };
    while (!shared->is_stopped && is_unsettled(shared->monitor))
    {
        const duration until_due =
            shared->monitor.next_round() - shared->time.now();
        if (until_due > duration::zero())
        {
            co_await pause_for(shared->pause, until_due);
            continue;
        }
        shared->monitor.on_round_begun(shared->time.now());
        const auto outcome = co_await run_round(shared);
        if (shared->is_stopped)
        {
            co_return;
        }
        const auto before = shared->monitor.state();
        shared->monitor.on_round(outcome);
        const auto after = shared->monitor.state();
        if (before == after)
        {
            continue;
        }
        log::event(
            after == reach_monitor::reach::cut_off ? log::level::warning
                                                   : log::level::info,
            log::channel::routing,
            after == reach_monitor::reach::cut_off    ? "servers_out_of_reach"
            : before == reach_monitor::reach::cut_off ? "servers_within_reach"
                                                      : "reach_suspicion_ended",
            {{"asked", outcome.asked}, {"any_accepted", outcome.any_accepted}});
        const bool is_suspicion_over =
            before == reach_monitor::reach::suspected &&
            after == reach_monitor::reach::sound;
        if (!is_suspicion_over)
        {
            shared->on_change();
        }
    }
}

} // namespace fireflysail
