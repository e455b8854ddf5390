#pragma once

#include "common/result.hpp"

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// Names of the methods between instances.
namespace peer_method
{

/// Membership and piggybacked entries.
inline constexpr std::string_view gossip = "gossip";
/// Demand for, and leases of, rate and concurrency.
inline constexpr std::string_view limits = "limits";
/// Fingerprints of requests that crash backend servers.
inline constexpr std::string_view quarantine = "quarantine";
/// Hand-over of the newest two lists to a starting instance.
inline constexpr std::string_view lists = "lists";
/// Hand-over of the newest marks to a starting instance.
inline constexpr std::string_view marks = "marks";
/// Asks a claimant whether it dispatched a claimed request.
inline constexpr std::string_view claim_inquiry = "claim_inquiry";

} // namespace peer_method

/// Takes the parameters, a JSON object, and gives the result, a JSON value.
/// Called from several threads at a time; must not block.
using peer_handler =
    std::function<result<std::string>(std::string_view params)>;

/// Calls the handler that a subsystem registered for a method. Filled before
/// the server starts, not changed after.
class peer_dispatcher
{
public:
    /// Each method is registered once.
    void add(std::string_view method, const peer_handler& handler);

    std::vector<std::string> methods() const;

    /// errc::not_found for a method without a handler, else as the handler.
    result<std::string>
    dispatch(std::string_view method, std::string_view params) const;

private:
    absl::flat_hash_map<std::string, peer_handler> handlers;
};

} // namespace fireflysail
