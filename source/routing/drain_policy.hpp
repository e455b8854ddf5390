#pragma once

#include "common/clock.hpp"
#include "routing/idle_connection_policy.hpp"

#include <optional>

namespace fireflysail
{

/// Decides which requests a stopping instance still sends to backend servers.
/// At first callers go on coming, as the balancer has not noticed the stop;
/// they are served. After that a request is sent only if its answer is due
/// before the process ends. All others are refused at once, since another
/// instance can run them.
///
/// Answers requests that arrive, or end their wait, late in the grace of a
/// planned stop: sent on, they would be cut off at its end.
class drain_policy
{
public:
    struct options
    {
        /// Time until the balancer has taken the instance out: it asks every
        /// second and does so after two misses.
        duration notice = std::chrono::milliseconds{2500};
        /// From the last moment for an answer to the end of the process.
        duration answer_margin = std::chrono::milliseconds{200};
    };

    explicit drain_policy(const options& chosen);

    /// The stop begins; the process ends at `end` at the latest.
    void begin(time_point now, time_point end);

    /// Whether callers go on coming, or come as ever.
    bool is_unnoticed(time_point now) const;

    /// Whether a request whose answer is due by `deadline` may be sent. One
    /// that may run only once is not sent if it could be cut off.
    bool may_send(work_kind work, time_point deadline, time_point now) const;

private:
    struct stop
    {
        time_point began;
        time_point end;
    };

    options chosen;
    std::optional<stop> stopping;
};

} // namespace fireflysail
