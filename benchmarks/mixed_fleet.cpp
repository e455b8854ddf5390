#include "mixed_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <random>

namespace fireflysail::benchmarks
{

namespace
{

using namespace std::chrono_literals;

struct kind
{
    const char* name;
    simulation::engine_shape shape;
};

simulation::engine_shape
shape_of(duration layer, duration item, duration prefill)
{
    simulation::engine_shape shape;
    shape.step_per_layer = layer;
    shape.step_per_item_layer = item;
    shape.prefill_per_token_layer = prefill;
    shape.max_batch = 32;
    shape.prefill_budget = 128;
    shape.slots = 1024;
    shape.kv_memory = token_count{1024'000};
    return shape;
}

const std::array<kind, 3>& kinds()
{
    static const std::array<kind, 3> all{
        {{"fast", shape_of(200us, 5us, 2us)},
         {"middle", shape_of(300us, 7500ns, 3us)},
         {"slow", shape_of(450us, 11250ns, 4500ns)}}};
    return all;
}

constexpr std::array<const char*, 3> zone_names{"zone-a", "zone-b", "zone-c"};

/// One engine in so many holds two thirds of the layers.
constexpr std::size_t wide_one_in = 8;

layer_range range_of(std::size_t number)
{
    constexpr std::uint32_t third = mixed_fleet_layers / 3;
    const bool wide = number % wide_one_in == wide_one_in - 1;
    const auto part = static_cast<std::uint32_t>(
        wide ? number / wide_one_in % 2 : number % 3);
    const std::uint32_t first = part * third;
    return {layer_index{first}, layer_index{first + (wide ? 2 : 1) * third}};
}

} // namespace

model_id mixed_fleet_model()
{
    return model_id{"model"};
}

std::vector<bounded_engine> add_mixed_engines(
    simulation::fake_fleet& fleet, std::size_t count, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    fleet.add_model({mixed_fleet_model(), mixed_fleet_layers});
    fleet.set_link(zone_id{zone_names[0]}, zone_id{zone_names[1]}, 300us);
    fleet.set_link(zone_id{zone_names[0]}, zone_id{zone_names[2]}, 500us);
    fleet.set_link(zone_id{zone_names[1]}, zone_id{zone_names[2]}, 400us);
    std::vector<bounded_engine> bounded;
    for (std::size_t i = 0; i < count; ++i)
    {
        const kind& chosen = kinds()[random() % kinds().size()];
        engine about;
        about.id = server_id{fmt::format("engine-{}", i)};
        about.zone = zone_id{zone_names[random() % zone_names.size()]};
        about.region = region_id{"region"};
        about.kind = accelerator_kind{chosen.name};
        about.holdings.push_back(
            {mixed_fleet_model(), model_version{"v1"}, range_of(i), {}});
        fleet.add_engine(about, chosen.shape);
        bounded.push_back({range_of(i), chosen.shape});
    }
    return bounded;
}

} // namespace fireflysail::benchmarks
