#pragma once

#include "routing/choice.hpp"

#include <optional>
#include <random>
#include <span>
#include <vector>

namespace fireflysail
{

/// A pipeline that replaces another one.
struct replacement
{
    pipeline route;
    /// By stage: whether server and layers are the same as before, so that the
    /// KV cache can still be used.
    std::vector<bool> kept;
};

/// Replaces the stages on `lost` servers and keeps the others unchanged, so
/// that only the new stages lack the context. The choice among similar engines
/// is random and depends on their load, so that many streams that lost the same
/// engine are spread. Returns nothing when the remaining engines cannot fill
/// the gaps between the kept stages; choose_pipeline() may still find a
/// pipeline.
std::optional<replacement> plan_replacement(
    const route_table& table,
    const pipeline& previous,
    std::span<const server_id> lost,
    const load_view& view,
    std::mt19937_64& random);

} // namespace fireflysail
