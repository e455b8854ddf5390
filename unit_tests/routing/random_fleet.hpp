#pragma once

#include "blackboard/fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <string>

namespace fireflysail
{

/// Parameters of a random fleet.
struct fleet_sizes
{
    std::size_t engines = 8;
    std::uint32_t layers = 12;
    std::size_t models = 2;
    std::size_t versions = 2;
    std::size_t zones = 3;
};

/// Generates engines with random overlapping layer ranges, kinds, zones,
/// versions, adapters, marks and health.
class random_fleet
{
public:
    explicit random_fleet(std::uint64_t seed)
        : random{seed}
    {
    }

    fleet_snapshot make(const fleet_sizes& sizes)
    {
        fleet_snapshot fleet;
        for (std::size_t m = 0; m < sizes.models; ++m)
        {
            fleet.models.push_back(
                {model_id{fmt::format("model-{}", m)}, sizes.layers});
        }
        for (std::size_t a = 0; a < sizes.zones; ++a)
        {
            for (std::size_t b = a + 1; b < sizes.zones; ++b)
            {
                const auto delay = std::chrono::microseconds{
                    this->pick(1, 2) == 1 ? this->pick(100, 900)
                                          : this->pick(20'000, 40'000)};
                fleet.links.push_back({this->zone(a), this->zone(b), delay});
            }
        }
        for (std::size_t e = 0; e < sizes.engines; ++e)
        {
            fleet.engines.push_back(this->make_engine(e, sizes));
        }
        return fleet;
    }

    std::uint64_t pick(std::uint64_t least, std::uint64_t most)
    {
        return std::uniform_int_distribution{least, most}(this->random);
    }

    engine make_engine(std::size_t number, const fleet_sizes& sizes)
    {
        engine made;
        made.id = server_id{fmt::format("engine-{}", number)};
        const std::uint64_t zone = this->pick(0, sizes.zones - 1);
        made.zone = this->zone(zone);
        made.region = region_id{zone % 2 == 0 ? "even" : "odd"};
        const std::uint64_t speed = this->pick(1, 3);
        made.kind = accelerator_kind{fmt::format("kind-{}", speed)};
        made.healthy = this->pick(0, 9) > 0;
        made.mark =
            this->pick(0, 9) > 0 ? server_mark::serving : server_mark::leaving;
        holding held;
        held.model =
            model_id{fmt::format("model-{}", this->pick(0, sizes.models - 1))};
        held.version = model_version{
            fmt::format("v{}", this->pick(0, sizes.versions - 1))};
        const auto first =
            static_cast<std::uint32_t>(this->pick(0, sizes.layers - 1));
        const auto last =
            static_cast<std::uint32_t>(this->pick(first + 1, sizes.layers));
        held.layers = {layer_index{first}, layer_index{last}};
        if (this->pick(0, 1) == 1)
        {
            held.adapters.push_back(adapter_id{"adapter-a"});
        }
        made.load.slots = 64;
        made.load.step_time =
            std::chrono::microseconds{300 * speed} * held.layers.size();
        made.load.prefill_time_per_token =
            std::chrono::microseconds{3 * speed} * held.layers.size();
        made.holdings.push_back(std::move(held));
        return made;
    }

private:
    zone_id zone(std::size_t number) const
    {
        return zone_id{fmt::format("zone-{}", number)};
    }

    std::mt19937_64 random;
};

} // namespace fireflysail
