#pragma once

#include "backend/engine_api.hpp"
#include "backend/stream_watchdog.hpp"

#include <chrono>

namespace fireflysail
{

/// Speaks docs/protocols/engines.md with model engines.
class http_engine final : public engine_api
{
public:
    http_engine(const clock& time, std::chrono::milliseconds connect_timeout);

    stream_end generate(
        const generate_request& request,
        progress_monitor& progress,
        const engine_event_receiver& receive) override;

    result<engine_status> status(const endpoint& address) override;

    result<void>
    order(const endpoint& address, const std::string& body) override;

private:
    const clock& time;
    std::chrono::milliseconds connect_timeout;
    stream_watchdog watchdog;
};

} // namespace fireflysail
