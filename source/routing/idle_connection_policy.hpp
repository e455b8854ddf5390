#pragma once

#include "common/clock.hpp"

namespace fireflysail
{

/// Determines what may be repeated when a connection turns out to be dead.
enum class work_kind
{
    /// A token stream; resumes after the last delivered token.
    stream,
    /// A non-streaming call that may be repeated.
    idempotent,
    /// A non-streaming call that may run at most once.
    non_idempotent,
};

enum class connection_decision
{
    use,
    /// Send a cheap request and wait for its response before sending work.
    validate,
    discard,
};

/// Decides whether a pooled connection may be reused after being idle.
/// Middleboxes such as NAT gateways and firewalls drop idle connections after
/// an unknown timeout, so the idle time up to which connections are trusted is
/// learned. One instance for each backend server or network path.
class idle_connection_policy
{
public:
    struct options
    {
        duration initial_trusted = std::chrono::seconds{5};
        duration min_trusted = std::chrono::milliseconds{100};
        duration max_trusted = std::chrono::seconds{60};
        /// Connections idle for more than this many times the trusted idle time
        /// are discarded.
        double discard_factor = 4;
        /// Non-idempotent work is sent without validation only on connections
        /// that received data within this time.
        duration recently_heard = std::chrono::milliseconds{200};
    };

    explicit idle_connection_policy(const options& chosen);

    /// `last_heard` is the time at which data was last received.
    connection_decision
    decide(time_point last_heard, work_kind work, time_point now) const;

    /// A connection that had been idle for `idle` worked.
    void on_alive(duration idle);

    /// A connection that had been idle for `idle` was unresponsive or closed.
    void on_dead(duration idle);

    duration trusted_idle_time() const;

private:
    options chosen;
    duration trusted_idle;
};

} // namespace fireflysail
