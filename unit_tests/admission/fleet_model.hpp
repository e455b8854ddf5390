#pragma once

#include "admission/admission_control.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <vector>

namespace fireflysail
{

/// Callers of one rank and workspace.
struct caller_class
{
    std::uint32_t rank = 0;
    std::string workspace;
    /// New callers per second at a time in seconds.
    std::function<double(double)> rate;
    /// Of the workspace, by the configuration.
    std::optional<std::uint32_t> own_rank;
    /// Counts since the last view, and their means.
    double arrived = 0, refused = 0, arrival_rate = 0, refusal_rate = 0;
};

struct caller
{
    std::size_t kind = 0;
    double arrived_at = 0;
    int refusals = 0;
    bool served = false;
};

/// A pool of streams behind 86 instances, each of which decides by itself on
/// totals of the fleet that are 0.4 to 0.8 s old. Callers return once.
struct fleet_model
{
    static constexpr double capacity = 900, mean_duration = 3, step = 0.01;
    static constexpr double full_rate = capacity / mean_duration;
    static constexpr double view_interval = 0.4;

    std::vector<caller_class> classes;
    std::mt19937_64 random;
    service_id chat{"chat"};
    double time_left = 30;
    /// What instances are told, relative to the true mean duration.
    double told_duration = 1;
    std::vector<admission_control> instances{86};
    std::vector<caller> callers{};
    std::vector<double> occupancy{}, occupancy_at_refusal{}, retry_after{};
    service_load counted{}, known{};
    std::vector<workspace_arrivals> workspaces{};
    /// Times and indices of callers that come back.
    std::priority_queue<std::pair<double, std::size_t>> returning{};
    /// Ends of streams, negative, on a clock that is slower above the capacity.
    std::priority_queue<double> ends{};
    double service_clock = 0;

    void run(double seconds)
    {
        for (auto left = std::lround(seconds / step); left > 0; --left)
        {
            const double now = static_cast<double>(occupancy.size()) * step;
            if (now >=
                to_seconds(counted.measured_at - time_point{}) + view_interval)
            {
                this->exchange_views(now);
            }
            while (!returning.empty() && -returning.top().first <= now)
            {
                this->arrive(returning.top().second, now);
                returning.pop();
            }
            for (std::size_t kind = 0; kind < classes.size(); ++kind)
            {
                const double mean = classes[kind].rate(now) * step;
                std::poisson_distribution<int> draw{mean};
                for (int count = draw(random); count > 0; --count)
                {
                    callers.push_back({kind, now, 0, false});
                    this->arrive(callers.size() - 1, now);
                }
            }
            occupancy.push_back(static_cast<double>(ends.size()) / capacity);
            service_clock += step / std::max(occupancy.back(), 1.0);
            while (!ends.empty() && -ends.top() <= service_clock)
            {
                ends.pop();
            }
        }
    }

    void exchange_views(double now)
    {
        known = counted;
        for (admission_control& instance : instances)
        {
            instance.set_workspace_demand(chat, workspaces);
            instance.update(chat, known, time_point{from_seconds(now)});
        }
        counted = service_load{};
        counted.measured_at = time_point{from_seconds(now)};
        counted.in_flight = static_cast<double>(ends.size());
        counted.capacity = capacity;
        counted.mean_duration = from_seconds(mean_duration * told_duration);
        workspaces.clear();
        const auto take = [](double& rate, double& count)
        {
            const double newest = std::exchange(count, 0) / view_interval;
            return rate += 0.6 * (newest - rate);
        };
        for (caller_class& of : classes)
        {
            counted.refused[of.rank] += take(of.refusal_rate, of.refused);
            const double rate = take(of.arrival_rate, of.arrived);
            counted.arrivals[of.rank] += rate;
            const demand_key key = workspace_key(of.workspace);
            if (workspaces.empty() || workspaces.back().workspace != key)
            {
                workspaces.emplace_back().workspace = key;
            }
            workspaces.back().per_second += rate;
            workspaces.back().rank = of.own_rank;
        }
    }

    void arrive(std::size_t index, double now)
    {
        caller& who = callers[index];
        caller_class& of = classes[who.kind];
        of.arrived += 1;
        const duration left = from_seconds(time_left + who.arrived_at - now);
        const auto decision = instances[random() % instances.size()].decide(
            chat,
            {of.rank, workspace_id{of.workspace}, left, false},
            &known,
            time_point{from_seconds(now)},
            random);
        who.served = std::holds_alternative<admitted>(decision);
        if (who.served)
        {
            std::uniform_real_distribution<double> length{0.5, 1.5};
            return ends.push(-(service_clock + mean_duration * length(random)));
        }
        of.refused += 1;
        occupancy_at_refusal.push_back(occupancy.back());
        retry_after.push_back(
            to_seconds(std::get<refused>(decision).retry_after));
        if (++who.refusals == 1)
        {
            returning.emplace(-(now + retry_after.back()), index);
        }
    }
};

} // namespace fireflysail
