#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/units.hpp"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace fireflysail
{

/// Class of a request; lower classes yield to higher ones.
enum class request_class
{
    interactive,
    standard,
    batch,
};

/// Entry of the first list: the plan of one workspace and its keys.
struct plan_entry
{
    workspace_id workspace;
    plan_id plan;
    /// SHA-256 digests, in hexadecimal, of the bearer keys that name it.
    std::vector<std::string> key_digests;
    revision version;
};

/// Entry of the second list: what one plan may use.
struct entitlement_entry
{
    plan_id plan;
    std::vector<model_id> models;
    std::vector<service_id> services;
    double requests_per_second = 0;
    double tokens_per_second = 0;
    std::uint32_t concurrency = 0;
    /// Share against other plans when work has to wait.
    std::uint32_t weight = 1;
    request_class highest_class = request_class::standard;
    revision version;
};

/// Both lists at one revision of the store.
struct lists_snapshot
{
    revision version;
    absl::flat_hash_map<workspace_id, plan_entry> plans;
    absl::flat_hash_map<plan_id, entitlement_entry> entitlements;
    absl::flat_hash_map<std::string, workspace_id> workspace_by_key_digest;
};

/// Entitlement of the plan of `workspace`; null when either list lacks it.
const entitlement_entry*
find_entitlement(const lists_snapshot& lists, const workspace_id& workspace);

} // namespace fireflysail
