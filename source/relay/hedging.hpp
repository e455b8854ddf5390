#pragma once

#include "common/identifiers.hpp"
#include "routing/hedge.hpp"

#include <absl/container/node_hash_map.h>

#include <array>
#include <cstdint>
#include <string>

namespace fireflysail
{

/// How a second copy ended.
enum class hedge_end
{
    /// Its answer went to the caller.
    won,
    /// It ended by itself, and its answer, if any, was of no use.
    lost,
    /// It was ended before it was answered: the first copy was, or the caller
    /// left.
    cancelled,
};

inline constexpr std::size_t hedge_ends = 3;

std::string_view name_of(hedge_end end);

/// What decides on second copies of requests to one service.
struct service_hedging
{
    hedge_policy policy;
    hedge_limit limit;
};

/// Second copies of idempotent requests, for all services of this instance.
/// Used by the traffic thread alone.
class hedging
{
public:
    /// `share` of the requests in each window may have second copies; none at
    /// all if zero.
    hedging(double share, duration window);

    bool is_enabled() const;

    service_hedging& of(const service_id& service, time_point now);

    /// Credits a request, if it may have a second copy.
    void on_request(const service_id& service, work_kind work, time_point now);

    void count_sent();
    void count_end(hedge_end end);
    void count_refusal(hedge_refusal why);

    /// In Prometheus text format; empty if no second copies are sent.
    std::string to_prometheus(time_point now) const;

private:
    const double share;
    const duration window;
    absl::node_hash_map<service_id, service_hedging> services;
    std::uint64_t sent = 0;
    std::array<std::uint64_t, hedge_ends> ends{};
    std::array<std::uint64_t, hedge_refusals> refusals{};
};

} // namespace fireflysail
