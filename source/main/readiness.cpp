#include "main/readiness.hpp"

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// An instance without a pipeline says that it is ready all the same after
/// this time, as it serves the plain services.
constexpr duration longest_warm_up = 8s;

} // namespace

readiness assess_readiness(const readiness_facts& facts)
{
    if (facts.is_stopping)
    {
        return readiness::stopping;
    }
    if (!facts.is_listening)
    {
        return readiness::not_listening;
    }
    if (!facts.has_configuration)
    {
        return readiness::no_configuration;
    }
    if (!facts.has_servers)
    {
        return readiness::no_servers;
    }
    return facts.covers_all_models || facts.since_start >= longest_warm_up
               ? readiness::ready
               : readiness::no_pipeline;
}

std::string_view name_of(readiness state)
{
    switch (state)
    {
    case readiness::ready:
        return "ready";
    case readiness::stopping:
        return "stopping";
    case readiness::not_listening:
        return "not_listening";
    case readiness::no_configuration:
        return "no_configuration";
    case readiness::no_servers:
        return "no_servers";
    case readiness::no_pipeline:
        return "no_pipeline";
    }
    return "unknown";
}

} // namespace fireflysail
