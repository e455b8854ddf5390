#pragma once

#include "common/hash.hpp"
#include "routing/choice.hpp"
#include "routing/planner.hpp"

#include <fmt/format.h>

#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fireflysail
{

/// Engines with layers [0, 4) (heads) and [4, 8) (tails) of one model, and all
/// objects needed to choose a pipeline.
struct routing_fixture
{
    explicit routing_fixture(int pairs)
    {
        this->fleet.models.push_back({model_id{"m"}, 8});
        for (int i = 0; i < pairs; ++i)
        {
            this->add(fmt::format("head-{}", i), 0, 4);
            this->add(fmt::format("tail-{}", i), 4, 8);
        }
        this->replan();
    }

    void add(const std::string& id, std::uint32_t first, std::uint32_t last)
    {
        engine made;
        made.id = server_id{id};
        made.zone = zone_id{"zone"};
        made.region = region_id{"region"};
        made.kind = accelerator_kind{"kind"};
        made.load.slots = 64;
        made.load.step_time = std::chrono::milliseconds{last - first};
        made.load.prefill_time_per_token =
            std::chrono::microseconds{10} * (last - first);
        made.holdings.push_back(
            {model_id{"m"},
             model_version{"v1"},
             {layer_index{first}, layer_index{last}},
             {}});
        this->fleet.engines.push_back(std::move(made));
    }

    engine& at(const std::string& id)
    {
        return *std::ranges::find(
            this->fleet.engines, server_id{id}, &engine::id);
    }

    void replan()
    {
        this->table =
            plan_routes(this->fleet, this->table, this->ejections.ejected());
    }

    /// Reports the current load of every engine.
    void report()
    {
        for (const engine& each : this->fleet.engines)
        {
            this->loads.report(
                *this->table->slot_of(each.id),
                stable_hash(each.id.str()),
                each.load,
                this->time.now());
        }
        for (const auto& [key, set] : this->table->sets)
        {
            this->loads.update_utilization(*set);
        }
    }

    const route_set& set() const
    {
        return *this->table->versions.at(model_id{"m"}).front();
    }

    load_view view() const
    {
        return {
            this->loads,
            this->times,
            this->states,
            this->prefixes,
            this->time.now()};
    }

    route_request request() const
    {
        route_request wanted;
        wanted.model = model_id{"m"};
        wanted.prompt_tokens = 200;
        wanted.expected_output_tokens = 100;
        return wanted;
    }

    routing_choice choose(const route_request& wanted)
    {
        return choose_pipeline(
            *this->table, wanted, this->view(), this->random);
    }

    /// Number of choices, out of `count`, that have the server as a stage.
    int uses(const std::string& server, const route_request& wanted, int count)
    {
        int uses = 0;
        for (int i = 0; i < count; ++i)
        {
            const auto choice = this->choose(wanted);
            const auto& route = *std::get<chosen_pipeline>(choice).route;
            uses += std::ranges::any_of(
                route.stages,
                [&](const stage& part)
                {
                    return part.server == server_id{server};
                });
        }
        return uses;
    }

    fleet_snapshot fleet;
    std::shared_ptr<const route_table> table;
    manual_clock time;
    load_tracker loads{time, 64};
    service_times times{64};
    service_states states{64};
    prefix_affinity prefixes;
    ejector ejections;
    std::mt19937_64 random{7};
};

} // namespace fireflysail
