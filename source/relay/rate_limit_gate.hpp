#pragma once

#include "common/clock.hpp"
#include "relay/io.hpp"
#include "routing/server_rate_limits.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace fireflysail
{

/// Lets requests to servers with a limit through as their owners grant them.
/// See server_rate_limits. Belongs to the traffic thread.
class rate_limit_gate
{
public:
    /// Sends to one instance, or to all others if there is none.
    using send_function = std::function<void(
        const limit_message&, const std::optional<instance_id>&)>;

    struct counts
    {
        std::uint64_t granted = 0;
        std::uint64_t denied = 0;
        std::uint64_t unanswered = 0;
    };

    rate_limit_gate(
        const asio::any_io_executor& executor,
        const clock& time,
        const instance_id& self);

    rate_limit_gate(const rate_limit_gate&) = delete;
    rate_limit_gate& operator=(const rate_limit_gate&) = delete;

    void set_send(send_function send);

    /// See server_rate_limits::set_peers().
    void set_peers(std::vector<instance_id> others, std::size_t unknown_count);

    /// Takes in the limit that an answer of the server names, if any.
    void on_answer(const server_id& server, std::optional<double> limit);

    void on_message(const instance_id& from, const limit_message& message);

    /// Tells all others whether this instance grants requests.
    void announce();

    /// This instance stops: others grant from now on.
    void leave();

    /// Whether one request may be sent to the server now. False: it is among
    /// the exhausted ones for some time.
    asio::awaitable<bool> acquire(const server_id& server);

    std::vector<server_id> exhausted() const;

    std::optional<duration> time_until_room() const;

    /// Tells the others what they should know; called at a steady pace.
    void send_due_reports();

    std::size_t limited_count() const;

    counts totals;

private:
    struct pending
    {
        asio::steady_timer& timer;
        std::optional<rate_grant> grant;
    };

    void on_presence(const owner_presence& told);
    owner_presence own_presence() const;

    asio::awaitable<std::optional<rate_grant>>
    ask(const instance_id& owner, const server_limit& known);

    const clock& time;
    const asio::any_io_executor executor;
    const instance_id self;
    server_rate_limits limits;
    send_function send = [](const limit_message&,
                            const std::optional<instance_id>&) {};
    bool is_leaving = false;
    time_point next_announcement{};
    std::uint64_t next_number = 1;
    absl::flat_hash_map<std::uint64_t, pending*> waiting;
};

} // namespace fireflysail
