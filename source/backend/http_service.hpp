#pragma once

#include "backend/service_api.hpp"

#include <chrono>

namespace fireflysail
{

/// Speaks HTTP with backend servers of plain services.
class http_service final : public service_api
{
public:
    explicit http_service(std::chrono::milliseconds connect_timeout);

    service_result call(
        const endpoint& address,
        const service_request& request,
        duration timeout) override;

    service_result look_up(
        const endpoint& address,
        const idempotency_key& key,
        duration timeout) override;

private:
    std::chrono::milliseconds connect_timeout;
};

} // namespace fireflysail
