#pragma once

#include "demand/fleet_demand.hpp"

#include <fmt/format.h>

#include <chrono>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace fireflysail
{

/// A fleet on a virtual clock with steps of 1 ms. Messages take 1 ms.
struct demand_fleet
{
    struct node
    {
        std::unique_ptr<fleet_demand> demand;
        demand_rows rows;
        bool is_up = true;
        std::size_t messages = 0;
        std::size_t bytes = 0;
    };

    struct delivery
    {
        std::size_t from = 0;
        std::size_t to = 0;
        demand_message message;
    };

    explicit demand_fleet(std::size_t count)
        : nodes(count)
    {
        for (std::size_t i = 0; i < count; ++i)
        {
            this->restart(i);
        }
    }

    static instance_id name_of(std::size_t index)
    {
        return instance_id{fmt::format("{:04}", index)};
    }

    /// Starts an instance anew, with all but `missing` in its list.
    void
    restart(std::size_t index, const std::vector<std::size_t>& missing = {})
    {
        this->nodes[index].demand = std::make_unique<fleet_demand>(
            name_of(index), fleet_demand::options{});
        this->set_list(index, missing);
    }

    void set_list(std::size_t index, const std::vector<std::size_t>& missing)
    {
        std::vector<instance_id> names;
        for (std::size_t i = 0; i < this->nodes.size(); ++i)
        {
            if (std::ranges::find(missing, i) == missing.end())
            {
                names.push_back(name_of(i));
            }
        }
        this->nodes[index].demand->set_peers(names);
    }

    void run_for(duration time)
    {
        using namespace std::chrono_literals;
        for (const auto end = this->now + time; this->now < end;
             this->now += 1ms)
        {
            while (!this->underway.empty() &&
                   this->underway.begin()->first <= this->now)
            {
                const auto next =
                    this->underway.extract(this->underway.begin());
                const auto& [from, to, message] = next.mapped();
                if (this->nodes[to].is_up)
                {
                    this->send(
                        to,
                        this->nodes[to].demand->on_message(
                            name_of(from), message, this->now));
                }
            }
            for (std::size_t i = 0; i < this->nodes.size(); ++i)
            {
                auto& node = this->nodes[i];
                // Each instance takes its counts every 50 ms.
                if (node.is_up &&
                    (this->now.time_since_epoch() / 1ms + i) % 50 == 0)
                {
                    node.demand->set_own(node.rows, this->now);
                }
                if (node.is_up && node.demand->next_step_at() <= this->now)
                {
                    this->send(i, node.demand->poll(this->now));
                }
            }
        }
    }

    /// Encoded as 30 bytes and 10 bytes a row.
    void send(std::size_t from, const std::vector<fleet_demand::outgoing>& sent)
    {
        std::uniform_real_distribution<double> share{0, 1};
        for (const auto& [receiver, message] : sent)
        {
            auto& node = this->nodes[from];
            const std::size_t size = 30 + 10 * message.sum.rows.size();
            node.demand->on_sent(size);
            node.bytes += size;
            ++node.messages;
            const std::size_t to = std::stoul(receiver.str());
            const bool is_lost = share(this->random) < this->loss ||
                                 (this->is_cut && this->is_cut(from, to));
            const bool is_twice = share(this->random) < this->duplicates;
            for (int copy = is_lost ? 2 : 0; copy < (is_twice ? 2 : 1); ++copy)
            {
                const auto extra = this->jitter * share(this->random);
                this->underway.emplace(
                    this->now + std::chrono::milliseconds{1} +
                        std::chrono::duration_cast<duration>(extra),
                    delivery{from, to, message});
            }
        }
    }

    std::vector<node> nodes;
    double loss = 0;
    double duplicates = 0;
    /// Added to the delay of a message, evenly distributed up to this time.
    duration jitter{};
    /// Messages from the first to the second are lost where it returns true.
    std::function<bool(std::size_t, std::size_t)> is_cut;
    time_point now = time_point{} + std::chrono::hours{1};
    std::multimap<time_point, delivery> underway;
    std::mt19937_64 random{1};
};

} // namespace fireflysail
