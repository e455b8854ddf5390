#pragma once

#include "blackboard/blackboard.hpp"
#include "common/clock.hpp"
#include "relay/io.hpp"
#include "routing/reach_monitor.hpp"

#include <functional>
#include <memory>
#include <random>
#include <vector>

namespace fireflysail
{

/// Asks backend servers for bare connections while reach_monitor wants them:
/// none as long as nothing is suspected. Used by the traffic thread alone.
class reach_prober
{
public:
    reach_prober(
        const asio::any_io_executor& executor,
        const clock& time,
        const blackboard& board,
        std::mt19937_64& random);
    ~reach_prober();

    reach_prober(const reach_prober&) = delete;
    reach_prober& operator=(const reach_prober&) = delete;

    /// A connection to the server, a run on it or a probe of it failed.
    void on_failure(const server_id& server);

    /// A server accepted a connection.
    void on_contact();

    bool is_cut_off() const;

    /// Servers failed, and it is not known yet whether all do.
    bool is_in_doubt() const;

    /// Called when is_cut_off() has changed.
    void set_on_change(std::function<void()> call);

private:
    struct state;
    struct round;

    static std::vector<endpoint> draw_servers(const state& shared);
    static asio::awaitable<void>
    connect(std::shared_ptr<round> part_of, endpoint address);
    static asio::awaitable<reach_monitor::round_outcome>
    run_round(std::shared_ptr<state> shared);
    static asio::awaitable<void> run(std::shared_ptr<state> shared);

    /// Shared with the rounds in progress, which outlive this object.
    std::shared_ptr<state> shared;
};

} // namespace fireflysail
