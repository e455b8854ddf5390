#pragma once

#include "common/clock.hpp"

#include <string_view>

namespace fireflysail
{

/// Whether the balancer should send new connections, and if not, why not.
enum class readiness
{
    ready,
    stopping,
    /// Callers cannot be accepted yet.
    not_listening,
    no_configuration,
    /// The store has not listed the backend servers yet.
    no_servers,
    /// A model has no pipeline, and the warm-up is not over.
    no_pipeline,
};

/// What readiness depends on.
struct readiness_facts
{
    bool is_stopping = false;
    bool is_listening = false;
    bool has_configuration = false;
    bool has_servers = false;
    bool covers_all_models = false;
    duration since_start{};
};

readiness assess_readiness(const readiness_facts& facts);

/// For logs and metrics.
std::string_view name_of(readiness state);

} // namespace fireflysail
