#include "ledger/at_most_once_executor.hpp"

#include "store/store_claims.hpp"
#include "store_model.hpp"

#include <fmt/format.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t instance_count = 3;
constexpr std::size_t thread_count = 6;
constexpr std::size_t key_count = 400;
constexpr int sends_per_thread = 1500;

class virtual_sleeper final : public sleeper
{
public:
    explicit virtual_sleeper(manual_clock& time)
        : time{time}
    {
    }

    void wait(duration step) override
    {
        this->time.advance(step);
        std::this_thread::yield();
    }

private:
    manual_clock& time;
};

/// Loses some inquiries and some of their answers.
class lossy_peers final : public claimant_inquiry
{
public:
    claimant_answer
    ask(const instance_id& claimant,
        const attempt_id& attempt,
        time_point) override
    {
        thread_local std::mt19937_64 random{7};
        const auto lost = random() % 16;
        if (lost == 0)
        {
            return claimant_unreachable{};
        }
        const auto got = this->members.at(claimant)->answer_inquiry(attempt);
        return lost == 1 ? claimant_answer{claimant_unreachable{}} : got;
    }

    std::map<instance_id, at_most_once_executor*> members;
};

/// Counts the runs of each key and records which attempts ran.
class fake_service
{
public:
    dispatch_result
    serve(std::size_t key, const attempt_id& attempt, std::uint64_t random_bits)
    {
        if (random_bits % 8 == 0)
        {
            return service_refused{};
        }
        {
            const std::lock_guard lock{this->mutex};
            this->runs[key] += 1;
            this->ran.insert(attempt);
        }
        std::this_thread::yield();
        if (random_bits % 8 == 1)
        {
            return service_no_answer{};
        }
        return service_completed{{200, "text/plain", attempt.str(), true}};
    }

    std::array<int, key_count> runs{};
    std::set<attempt_id> ran;
    std::mutex mutex;
};

struct fleet
{
    fleet()
    {
        for (std::size_t i = 0; i < instance_count; ++i)
        {
            const instance_id name{fmt::format("i{}", i)};
            this->instances.push_back(std::make_unique<at_most_once_executor>(
                ledger_options{},
                name,
                this->claims,
                this->peers,
                this->waits,
                this->time));
            this->peers.members[name] = this->instances.back().get();
        }
    }

    ledger_answer send(std::size_t key, std::uint64_t random_bits)
    {
        const claim_request request{
            {workspace_id{"w"}, idempotency_key{std::to_string(key)}},
            fingerprint{key},
            this->time.now() + 2s};
        attempt_id tried;
        const ledger_answer answer =
            this->instances[random_bits % instance_count]->run(
                request,
                [&](const attempt_id& attempt)
                {
                    tried = attempt;
                    return this->service.serve(key, attempt, random_bits / 8);
                });
        this->check(answer, tried);
        return answer;
    }

    void check(const ledger_answer& answer, const attempt_id& tried)
    {
        const std::lock_guard lock{this->service.mutex};
        const std::set<attempt_id>& ran = this->service.ran;
        if (const auto* fresh = std::get_if<fresh_response>(&answer))
        {
            this->wrong_answers += fresh->response.body == tried.str() ? 0 : 1;
        }
        else if (const auto* again = std::get_if<replayed_response>(&answer))
        {
            this->wrong_answers +=
                ran.contains(attempt_id{again->response.body}) ? 0 : 1;
        }
        else if (std::holds_alternative<ledger_not_run>(answer))
        {
            this->wrong_answers += ran.contains(tried) ? 1 : 0;
        }
        else
        {
            this->wrong_answers +=
                std::holds_alternative<key_reused>(answer) ? 1 : 0;
        }
    }

    manual_clock time;
    store_model objects{time, store_model::watch_mode::immediate, 11};
    store_claims claims{objects, objects};
    lossy_peers peers;
    virtual_sleeper waits{time};
    fake_service service;
    std::vector<std::unique_ptr<at_most_once_executor>> instances;
    std::atomic<int> wrong_answers{0};
};

} // namespace

TEST_CASE("many threads, three instances and a bad store run nothing twice")
{
    fleet f;
    store_faults bad;
    bad.lost_answer_chance = 0.05;
    bad.lost_request_chance = 0.05;
    bad.late_write_chance = 0.05;
    bad.late_by = 200ms;
    bad.refused_chance = 0.05;
    f.objects.set_faults(bad);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < thread_count; ++i)
    {
        callers.emplace_back(
            [&f, i]()
            {
                std::mt19937_64 random{i};
                for (int n = 0; n < sends_per_thread; ++n)
                {
                    const std::size_t key = random() % key_count;
                    f.send(key, random() >> 8);
                    if (i < instance_count)
                    {
                        f.instances[i]->settle();
                    }
                    f.time.advance(1ms);
                }
            });
    }
    for (std::thread& caller : callers)
    {
        caller.join();
    }
    CHECK(f.wrong_answers == 0);
    CHECK(std::ranges::max(f.service.runs) == 1);

    // Without faults every outcome is recorded, and every request with a known
    // outcome is served.
    f.objects.set_faults({});
    f.objects.flush_late_writes();
    f.time.advance(1min);
    for (const auto& instance : f.instances)
    {
        instance->settle();
        CHECK(instance->counts().unrecorded == 0);
        CHECK(instance->counts().in_flight == 0);
    }
    int in_doubt = 0;
    for (std::size_t key = 0; key < key_count; ++key)
    {
        // The service neither refuses this request nor leaves it unanswered.
        constexpr std::uint64_t random_bits = 56;
        const ledger_answer answer = f.send(key, random_bits);
        CHECK_FALSE(std::holds_alternative<ledger_not_run>(answer));
        in_doubt += std::holds_alternative<ledger_unknown>(answer) ? 1 : 0;
    }
    CHECK(std::ranges::max(f.service.runs) == 1);
    WARN(
        fmt::format("{} of {} keys with unknown outcome", in_doubt, key_count));
}
