#include "routing/admission_queue.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

queue_entry make_entry(
    std::uint64_t ticket,
    duration expected = 1s,
    request_class priority = request_class::standard,
    const std::string& workspace = "w")
{
    queue_entry entry;
    entry.ticket = ticket_id{ticket};
    entry.workspace = workspace_id{workspace};
    entry.expected = expected;
    entry.priority = priority;
    entry.preemptible = true;
    return entry;
}

template <class Decision>
std::vector<std::uint64_t> tickets(const std::vector<queue_decision>& all)
{
    std::vector<std::uint64_t> found;
    for (const queue_decision& decision : all)
    {
        if (const auto* match = std::get_if<Decision>(&decision))
        {
            found.push_back(match->ticket.value());
        }
    }
    return found;
}

/// A queue that has observed 50 entries of 1 s, so that the threshold for long
/// work is known.
struct warm_queue
{
    explicit warm_queue(std::size_t slots)
    {
        this->queue.set_capacity(1);
        for (std::uint64_t i = 0; i < 50; ++i)
        {
            this->queue.submit(make_entry(this->next + i), this->now);
            this->now += 1s;
            this->queue.release(
                ticket_id{this->next + i}, slot_end::finished, this->now);
        }
        this->now += 60s;
        this->queue.set_capacity(slots);
    }

    submission submit(const queue_entry& entry)
    {
        return this->queue.submit(entry, this->now);
    }

    std::vector<queue_decision> finish(std::uint64_t ticket)
    {
        this->queue.release(ticket_id{ticket}, slot_end::finished, this->now);
        return this->queue.poll(this->now);
    }

    admission_queue queue{admission_queue::options{}};
    time_point now{};
    std::uint64_t next = 1'000'000;
};

using id_list = std::vector<std::uint64_t>;

} // namespace

TEST_CASE("entries beyond the slots wait until one is released")
{
    warm_queue warm{2};
    CHECK(std::holds_alternative<admitted>(warm.submit(make_entry(1))));
    CHECK(std::holds_alternative<admitted>(warm.submit(make_entry(2))));
    CHECK(std::holds_alternative<queued>(warm.submit(make_entry(3))));
    CHECK(warm.queue.poll(warm.now).empty());
    warm.now += 1s;
    CHECK(tickets<admitted>(warm.finish(1)) == id_list{3});
}

TEST_CASE("resumes precede new work of any class")
{
    warm_queue warm{1};
    warm.submit(make_entry(1));
    warm.submit(make_entry(2, 1s, request_class::interactive));
    warm.queue.resume(make_entry(3, 1s, request_class::batch), warm.now);
    CHECK(tickets<admitted>(warm.finish(1)) == id_list{3});
    CHECK(tickets<admitted>(warm.finish(3)) == id_list{2});
}

TEST_CASE("work that cannot meet its deadline is refused at once")
{
    warm_queue warm{2};
    std::uint64_t ticket = 0;
    while (warm.queue.waiting() < 3)
    {
        warm.submit(make_entry(ticket++));
    }
    queue_entry urgent = make_entry(100);
    urgent.deadline = warm.now + 2s;
    const submission answer = warm.submit(urgent);
    REQUIRE(std::holds_alternative<refused>(answer));
    const did_not_run& why = std::get<refused>(answer).answer;
    CHECK(why.reason == did_not_run_reason::deadline);
    CHECK(why.retry_after >= 1s);
    CHECK(why.retry_after <= 4s);

    queue_entry patient = make_entry(101);
    patient.deadline = warm.now + 60s;
    CHECK(std::holds_alternative<queued>(warm.submit(patient)));
}

TEST_CASE("the queue stays short however much arrives")
{
    warm_queue warm{10};
    for (std::uint64_t i = 0; i < 500; ++i)
    {
        queue_entry entry = make_entry(i);
        entry.deadline = warm.now + 1h;
        warm.submit(entry);
    }
    CHECK(warm.queue.waiting() >= 10);
    CHECK(warm.queue.waiting() <= 20);
    const queue_entry higher = make_entry(1000, 1s, request_class::interactive);
    CHECK(std::holds_alternative<queued>(warm.submit(higher)));
}

TEST_CASE("an overestimated service time alone does not cause a refusal")
{
    warm_queue warm{2};
    queue_entry entry = make_entry(1, 3s);
    entry.deadline = warm.now + 2s;
    CHECK(std::holds_alternative<admitted>(warm.submit(entry)));
    entry = make_entry(2, 4s);
    entry.deadline = warm.now + 2s;
    CHECK(std::holds_alternative<refused>(warm.submit(entry)));
}

TEST_CASE(
    "accepted work meets its deadline despite later work of a higher class")
{
    warm_queue warm{4};
    std::map<std::uint64_t, time_point> ends;
    std::set<std::uint64_t> low_waiting{900, 901, 902};
    const auto begin = [&](std::uint64_t ticket)
    {
        ends[ticket] = warm.now + 1s;
        low_waiting.erase(ticket);
    };
    std::uint64_t next = 0;
    for (; next < 4; ++next)
    {
        warm.submit(make_entry(next, 1s, request_class::batch));
        begin(next);
    }
    for (const std::uint64_t ticket : {900, 901, 902})
    {
        queue_entry low = make_entry(ticket, 1s, request_class::batch);
        low.deadline = warm.now + 8s;
        REQUIRE(std::holds_alternative<queued>(warm.submit(low)));
    }
    const time_point latest = warm.now + 7s;
    while (warm.now < latest)
    {
        warm.now += 50ms;
        const auto high = make_entry(next, 1s, request_class::interactive);
        if (std::holds_alternative<admitted>(warm.submit(high)))
        {
            begin(next);
        }
        ++next;
        const auto due = ends;
        for (const auto& [ticket, end] : due)
        {
            if (end <= warm.now)
            {
                warm.queue.release(
                    ticket_id{ticket}, slot_end::finished, warm.now);
                ends.erase(ticket);
            }
        }
        std::ranges::for_each(
            tickets<admitted>(warm.queue.poll(warm.now)), begin);
    }
    CHECK(low_waiting.empty());
}

TEST_CASE("work whose deadline passes while it waits is refused, not run")
{
    warm_queue warm{1};
    queue_entry slow = make_entry(1);
    warm.submit(slow);
    queue_entry waiting = make_entry(2);
    waiting.deadline = warm.now + 10s;
    REQUIRE(std::holds_alternative<queued>(warm.submit(waiting)));
    warm.now += 9400ms;
    CHECK(warm.queue.poll(warm.now).empty());
    warm.now += 1ms;
    CHECK(tickets<refused>(warm.queue.poll(warm.now)) == id_list{2});
    CHECK(tickets<admitted>(warm.finish(1)).empty());
}

TEST_CASE("a workspace that floods the queue does not block the others")
{
    warm_queue warm{4};
    std::size_t flooded = 0;
    std::uint64_t ticket = 0;
    for (; ticket < 500; ++ticket)
    {
        queue_entry entry =
            make_entry(ticket, 1s, request_class::standard, "flood");
        entry.deadline = warm.now + 10s;
        const auto answer = warm.submit(entry);
        flooded += std::holds_alternative<refused>(answer) ? 0 : 1;
    }
    CHECK(flooded < 60);
    queue_entry light =
        make_entry(ticket, 1s, request_class::standard, "light");
    light.deadline = warm.now + 10s;
    CHECK(std::holds_alternative<queued>(warm.submit(light)));
    warm.now += 1s;
    const auto next = tickets<admitted>(warm.finish(0));
    const auto second = tickets<admitted>(warm.finish(1));
    CHECK((next == id_list{ticket} || second == id_list{ticket}));
}

TEST_CASE("a full class accepts a workspace below its fair share")
{
    admission_queue::options small;
    small.max_waiting_per_class = 10;
    admission_queue queue{small};
    queue.set_capacity(1);
    const time_point now{};
    for (std::uint64_t i = 0; i < 30; ++i)
    {
        queue.submit(make_entry(i, 1ms, request_class::standard, "flood"), now);
    }
    CHECK(queue.waiting() == 10);
    const auto answer = queue.submit(
        make_entry(99, 1ms, request_class::standard, "light"), now);
    CHECK(std::holds_alternative<queued>(answer));
}

TEST_CASE("long work leaves free the slots that short work needs")
{
    warm_queue warm{10};
    for (std::uint64_t i = 0; i < 4; ++i)
    {
        warm.submit(make_entry(i));
    }
    warm.now += 5s;
    warm.queue.poll(warm.now);
    std::uint64_t ticket = 100;
    for (int i = 0; i < 20; ++i)
    {
        warm.submit(make_entry(ticket++, 30s));
    }
    CHECK(warm.queue.running_long() == warm.queue.long_limit());
    CHECK(warm.queue.running_long() == 5);
    CHECK(warm.queue.poll(warm.now).empty());
    CHECK(warm.queue.running() == 9);
}

TEST_CASE("preempted long streams resume before new long work")
{
    warm_queue warm{10};
    for (std::uint64_t i = 0; i < 10; ++i)
    {
        REQUIRE(
            std::holds_alternative<admitted>(warm.submit(make_entry(i, 30s))));
        warm.now += 1s;
    }
    warm.submit(make_entry(50, 30s));
    warm.submit(make_entry(60));
    warm.submit(make_entry(61));
    const auto victims = tickets<preempt>(warm.queue.poll(warm.now));
    REQUIRE(victims.size() == 2);
    CHECK(tickets<preempt>(warm.queue.poll(warm.now)).empty());

    for (const std::uint64_t victim : victims)
    {
        warm.queue.on_preempted(ticket_id{victim}, 20s, warm.now);
    }
    auto started = tickets<admitted>(warm.queue.poll(warm.now));
    std::ranges::sort(started);
    CHECK(started == id_list{60, 61});

    warm.now += 1s;
    const auto first = tickets<admitted>(warm.finish(60));
    const auto second = tickets<admitted>(warm.finish(61));
    CHECK((first.empty() || first != id_list{50}));
    CHECK((second.empty() || second != id_list{50}));
    warm.now += 20s;
    const auto later = tickets<admitted>(warm.queue.poll(warm.now));
    id_list resumed = first;
    resumed.insert(resumed.end(), second.begin(), second.end());
    resumed.insert(resumed.end(), later.begin(), later.end());
    std::ranges::sort(resumed);
    id_list expected = victims;
    std::ranges::sort(expected);
    CHECK(resumed == expected);
}

TEST_CASE("preemption leaves the slots reserved for long work")
{
    warm_queue warm{10};
    for (std::uint64_t i = 0; i < 10; ++i)
    {
        warm.submit(make_entry(i, 30s));
    }
    warm.now += 1s;
    for (std::uint64_t i = 100; i < 150; ++i)
    {
        warm.submit(make_entry(i));
    }
    const auto victims = tickets<preempt>(warm.queue.poll(warm.now));
    CHECK(victims.size() == 8);
}

TEST_CASE("a long stream of a higher class is not preempted for a lower one")
{
    warm_queue warm{4};
    for (std::uint64_t i = 0; i < 4; ++i)
    {
        warm.submit(make_entry(i, 30s, request_class::interactive));
    }
    warm.now += 1s;
    warm.submit(make_entry(10, 1s, request_class::batch));
    CHECK(warm.queue.poll(warm.now).empty());
    warm.submit(make_entry(11, 1s, request_class::interactive));
    CHECK_FALSE(tickets<preempt>(warm.queue.poll(warm.now)).empty());
}

TEST_CASE("work that overruns the threshold counts as long and is preempted")
{
    warm_queue warm{4};
    for (std::uint64_t i = 0; i < 4; ++i)
    {
        warm.submit(make_entry(i));
    }
    warm.now += 5s;
    warm.queue.poll(warm.now);
    CHECK(warm.queue.running_long() == 0);
    warm.now += 5s;
    warm.queue.poll(warm.now);
    CHECK(warm.queue.running_long() == 4);
    warm.submit(make_entry(9));
    CHECK(tickets<preempt>(warm.queue.poll(warm.now)).size() == 1);
}

TEST_CASE("a reduced capacity interrupts nothing and admits nothing")
{
    warm_queue warm{3};
    for (std::uint64_t i = 0; i < 4; ++i)
    {
        warm.submit(make_entry(i));
    }
    warm.queue.set_capacity(1);
    CHECK(warm.queue.running() == 3);
    CHECK(warm.finish(0).empty());
    CHECK(warm.finish(1).empty());
    CHECK(tickets<admitted>(warm.finish(2)) == id_list{3});
}

namespace
{

/// Passes random work through a queue and checks its counts after each step.
class random_run
{
public:
    explicit random_run(std::uint64_t seed)
        : random{seed}
    {
        this->queue.set_capacity(6);
    }

    void step()
    {
        this->now += std::chrono::milliseconds{this->random() % 200};
        if (this->random() % 2 == 0)
        {
            this->submit();
        }
        this->end_due();
        if (this->random() % 20 == 0 && !this->waiting.empty())
        {
            const std::uint64_t ticket = *this->waiting.begin();
            REQUIRE(this->queue.cancel(ticket_id{ticket}, this->now));
            this->waiting.erase(ticket);
        }
        this->poll();
    }

    void drain()
    {
        for (int i = 0; i < 20000 && this->busy(); ++i)
        {
            this->now += 50ms;
            this->end_due();
            this->poll();
        }
    }

    bool busy() const
    {
        return !this->waiting.empty() || !this->ends.empty();
    }

    duration longest_wait{};

private:
    void submit()
    {
        const bool is_long = this->random() % 20 == 0;
        const auto base = std::chrono::milliseconds{this->random() % 500 + 100};
        queue_entry entry = make_entry(
            this->next++,
            is_long ? 30 * base : base,
            static_cast<request_class>(this->random() % 3),
            fmt::format("w{}", this->random() % 4));
        if (this->random() % 4 == 0)
        {
            entry.deadline = this->now + 4 * entry.expected;
        }
        const std::uint64_t ticket = entry.ticket.value();
        const submission answer = this->queue.submit(entry, this->now);
        this->entries[ticket] = entry;
        if (std::holds_alternative<admitted>(answer))
        {
            this->begin(ticket);
        }
        else if (std::holds_alternative<queued>(answer))
        {
            this->waiting.insert(ticket);
        }
        this->submitted[ticket] = this->now;
    }

    void begin(std::uint64_t ticket)
    {
        REQUIRE_FALSE(this->ends.contains(ticket));
        this->ends[ticket] = this->now + this->entries[ticket].expected;
    }

    void end_due()
    {
        std::erase_if(
            this->ends,
            [&](const auto& end)
            {
                const bool due = end.second <= this->now;
                if (due)
                {
                    this->queue.release(
                        ticket_id{end.first}, slot_end::finished, this->now);
                }
                return due;
            });
    }

    void poll()
    {
        for (const queue_decision& decision : this->queue.poll(this->now))
        {
            if (const auto* start = std::get_if<admitted>(&decision))
            {
                const std::uint64_t ticket = start->ticket.value();
                REQUIRE(this->waiting.erase(ticket) == 1);
                this->begin(ticket);
                this->longest_wait = std::max(
                    this->longest_wait, this->now - this->submitted[ticket]);
            }
            else if (const auto* refusal = std::get_if<refused>(&decision))
            {
                REQUIRE(this->waiting.erase(refusal->ticket.value()) == 1);
            }
            else
            {
                this->yield(std::get<preempt>(decision).ticket.value());
            }
        }
        REQUIRE(this->queue.running() == this->ends.size());
        REQUIRE(this->queue.running() <= 6);
        REQUIRE(this->queue.waiting() == this->waiting.size());
    }

    void yield(std::uint64_t ticket)
    {
        REQUIRE(this->ends.contains(ticket));
        const duration remaining = this->ends[ticket] - this->now;
        this->ends.erase(ticket);
        this->entries[ticket].expected = remaining;
        this->submitted[ticket] = this->now;
        this->waiting.insert(ticket);
        this->queue.on_preempted(ticket_id{ticket}, remaining, this->now);
    }

    std::mt19937_64 random;
    admission_queue queue{admission_queue::options{}};
    time_point now{};
    std::uint64_t next = 1;
    std::map<std::uint64_t, queue_entry> entries;
    std::map<std::uint64_t, time_point> submitted;
    std::map<std::uint64_t, time_point> ends;
    std::set<std::uint64_t> waiting;
};

} // namespace

TEST_CASE("random work: every entry ends exactly once without starvation")
{
    const auto seed = GENERATE(range(1, 21));
    random_run run{static_cast<std::uint64_t>(seed)};
    for (int i = 0; i < 4000; ++i)
    {
        run.step();
    }
    run.drain();
    CHECK_FALSE(run.busy());
    CHECK(run.longest_wait < 120s);
}
