#pragma once

#include "fleet_bound.hpp"
#include "simulation/fake_fleet.hpp"

#include <cstdint>
#include <vector>

namespace fireflysail::benchmarks
{

constexpr std::uint32_t mixed_fleet_layers = 48;

/// The name of the one model that the engines of `add_mixed_engines` hold.
model_id mixed_fleet_model();

/// Adds engines of three kinds in three zones, most of which hold a third of
/// the layers and some two thirds. What each holds is drawn from the seed.
std::vector<bounded_engine> add_mixed_engines(
    simulation::fake_fleet& fleet, std::size_t count, std::uint64_t seed);

} // namespace fireflysail::benchmarks
