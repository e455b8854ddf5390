#pragma once

#include "routing/server_balancer.hpp"

#include <algorithm>

namespace fireflysail
{

/// Callers in a closed loop over many instances and few servers of 6 slots, in
/// steps of 1 ms. Each instance has a balancer and, with `has_view`, gets
/// counts every 0.4 s that were taken 0.4 s before.
struct plain_service_model
{
    struct caller
    {
        std::size_t instance = 0, server = 0;
        bool is_sent = false, is_running = false;
        time_point sent_at{}, until{};
    };

    struct server_state
    {
        double service_seconds = 0.04, failing_share = 0;
        std::uint32_t running = 0, waiting = 0;
        double sent = 0, answered = 0, failed = 0, response_seconds = 0;
        fleet_server_counts taken;
        /// Steps for which requests have waited while another server had room.
        int crowded = 0;
    };

    fleet_snapshot fleet;
    std::vector<server_state> servers;
    std::vector<server_balancer> balancers;
    std::vector<caller> callers;
    bool has_view = true;
    std::mt19937_64 random{1};
    time_point now{std::chrono::hours{1}}, taken_at = now;
    double sent = 0, waited = 0;
    int longest_crowded = 0;
    std::vector<duration> response_times;

    plain_service_model(std::size_t count, std::size_t instances, double load)
        : servers(count)
        , balancers(instances)
        , callers(static_cast<std::size_t>(load * 2 * 6 * count))
    {
        this->fleet.services.resize(count);
        for (std::size_t s = 0; s < count; ++s)
        {
            this->fleet.services[s].id = server_id{std::to_string(s)};
            this->fleet.services[s].slots = 6;
            this->fleet.services[s].started_at_ms = 1;
        }
    }

    void run_for(duration span)
    {
        const time_point end = this->now + span;
        while (this->now < end)
        {
            this->now += std::chrono::milliseconds{1};
            std::ranges::sort(this->callers, {}, &caller::sent_at);
            std::ranges::for_each(
                this->callers,
                [this](caller& c)
                {
                    this->advance(c);
                });
            const bool has_room = std::ranges::any_of(
                this->servers,
                [](const auto& s)
                {
                    return s.running < 6;
                });
            for (auto& s : this->servers)
            {
                s.crowded = has_room && s.waiting > 0 ? s.crowded + 1 : 0;
                this->longest_crowded =
                    std::max(this->longest_crowded, s.crowded);
            }
            if (this->now - this->taken_at == std::chrono::milliseconds{400})
            {
                this->exchange_counts();
            }
        }
    }

    time_point after(double mean)
    {
        std::exponential_distribution<double> seconds{1 / mean};
        return this->now + from_seconds(seconds(this->random));
    }

    void advance(caller& c)
    {
        if (!c.is_sent && c.until <= this->now)
        {
            c.instance = this->random() % this->balancers.size();
            server_balancer& balancer = this->balancers[c.instance];
            const auto* const chosen = balancer.choose(
                this->fleet, {}, {}, {}, this->now, this->random);
            balancer.on_sent(chosen->id, this->now);
            c.server = chosen - this->fleet.services.data();
            c.is_sent = true;
            c.sent_at = this->now;
            server_state& server = this->servers[c.server];
            ++server.sent;
            ++server.waiting;
            ++this->sent;
            this->waited += server.running == 6 ? 1 : 0;
        }
        server_state& server = this->servers[c.server];
        if (c.is_sent && !c.is_running && server.running < 6)
        {
            --server.waiting;
            ++server.running;
            c.is_running = true;
            c.until = this->after(server.service_seconds);
        }
        else if (c.is_running && c.until <= this->now)
        {
            --server.running;
            c.is_running = c.is_sent = false;
            c.until = this->after(0.04);
            this->end(server, c);
        }
    }

    void end(server_state& server, const caller& c)
    {
        const duration taken = this->now - c.sent_at;
        std::bernoulli_distribution fails{server.failing_share};
        const auto end = fails(this->random) ? server_outcome::failed
                                             : server_outcome::answered;
        const server_id& id = this->fleet.services[c.server].id;
        server_balancer& balancer = this->balancers[c.instance];
        balancer.on_load(id, server.running, server.waiting, this->now);
        balancer.on_ended(id, end, taken, this->now);
        const bool is_answer = end == server_outcome::answered;
        ++(is_answer ? server.answered : server.failed);
        server.response_seconds += is_answer ? to_seconds(taken) : 0;
        this->response_times.push_back(taken);
    }

    void exchange_counts()
    {
        for (std::size_t s = 0; s < this->servers.size(); ++s)
        {
            server_state& from = this->servers[s];
            for (auto& balancer : this->balancers)
            {
                if (this->has_view)
                {
                    balancer.set_fleet_counts(
                        this->fleet.services[s].id, from.taken, this->taken_at);
                }
            }
            from.taken.in_flight = from.running + from.waiting;
            from.taken.answered_per_second = from.answered / 0.4;
            from.taken.failed_per_second = from.failed / 0.4;
            from.taken.mean_response_time = from_seconds(
                from.response_seconds / std::max(1.0, from.answered));
            from.answered = from.failed = from.response_seconds = 0;
        }
        this->taken_at = this->now;
    }
};

} // namespace fireflysail
