#pragma once

#include "simulation/fake_engine.hpp"

#include <span>

namespace fireflysail::benchmarks
{

/// An engine as the bound sees it.
struct bounded_engine
{
    layer_range layers;
    simulation::engine_shape shape;
};

/// Mean work of one request.
struct mean_request
{
    double prompt_tokens = 0;
    double output_tokens = 0;
};

/// Most tokens of output that the engines can give each second, whatever the
/// pipelines: of every group of layers, the engines that hold any of it must
/// together run all of it for each request. Exact for full batches.
double tokens_per_second_bound(
    std::span<const bounded_engine> engines,
    std::uint32_t layers,
    const mean_request& request);

} // namespace fireflysail::benchmarks
