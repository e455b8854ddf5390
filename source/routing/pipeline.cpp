#include "routing/pipeline.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <array>
#include <numeric>

namespace fireflysail
{

namespace
{

std::uint64_t hash_stage(std::uint64_t seed, const stage& part)
{
    const std::array<std::uint32_t, 2> range{
        part.layers.first.value(), part.layers.last.value()};
    const std::string_view bytes{
        reinterpret_cast<const char*>(range.data()), sizeof range};
    return stable_hash(bytes, seed ^ part.server_key);
}

bool has_server(const pipeline& candidate, engine_slot slot)
{
    return std::ranges::find(candidate.stages, slot, &stage::slot) !=
           candidate.stages.end();
}

} // namespace

bool covers_exactly(const pipeline& candidate, std::uint32_t layers)
{
    std::uint32_t reached = 0;
    for (auto part = candidate.stages.begin(); part != candidate.stages.end();
         ++part)
    {
        const bool joins = part->layers.first.value() == reached;
        const bool advances = part->layers.last > part->layers.first;
        const bool repeated = std::find_if(
                                  candidate.stages.begin(),
                                  part,
                                  [&](const stage& earlier)
                                  {
                                      return earlier.server == part->server;
                                  }) != part;
        if (!joins || !advances || repeated)
        {
            return false;
        }
        reached = part->layers.last.value();
    }
    return reached == layers;
}

void summarize(pipeline& candidate)
{
    candidate.cost = duration::zero();
    candidate.prefill_time_per_token = duration::zero();
    candidate.key = 0;
    for (const stage& part : candidate.stages)
    {
        candidate.cost += part.step_time + part.link_to_next;
        candidate.prefill_time_per_token = std::max(
            candidate.prefill_time_per_token, part.prefill_time_per_token);
        candidate.key = hash_stage(candidate.key, part);
    }
    candidate.step_time = candidate.cost;
    if (!candidate.stages.empty())
    {
        candidate.cost -= candidate.stages.back().link_to_next;
    }
}

bool server_disjoint(const pipeline& a, const pipeline& b)
{
    return std::ranges::none_of(
        a.stages,
        [&](const stage& part)
        {
            return has_server(b, part.slot);
        });
}

} // namespace fireflysail
