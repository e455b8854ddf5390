#include "ledger/at_most_once_executor.hpp"

#include "common/error.hpp"
#include "store/claim_codec.hpp"
#include "store/store_claims.hpp"
#include "store_model.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

/// Advances the virtual clock instead of sleeping, and runs a callback once.
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
        if (this->on_wait)
        {
            std::exchange(this->on_wait, nullptr)();
        }
    }

    manual_clock& time;
    std::function<void()> on_wait;
};

class peer_network final : public claimant_inquiry
{
public:
    claimant_answer
    ask(const instance_id& claimant,
        const attempt_id& attempt,
        time_point) override
    {
        this->inquiries += 1;
        const auto found = this->members.find(claimant);
        if (found == this->members.end())
        {
            return claimant_unreachable{};
        }
        return found->second->answer_inquiry(attempt);
    }

    std::map<instance_id, at_most_once_executor*> members;
    int inquiries = 0;
};

/// A service that counts its runs.
class fake_service
{
public:
    at_most_once_executor::dispatch_function dispatch()
    {
        return [this](const attempt_id&)
        {
            return this->serve();
        };
    }

    dispatch_result serve()
    {
        if (this->on_serve)
        {
            std::exchange(this->on_serve, nullptr)();
        }
        if (this->refuses)
        {
            return service_refused{};
        }
        this->runs += 1;
        if (this->silent)
        {
            return service_no_answer{};
        }
        return service_completed{{201, "text/plain", "booked", true}};
    }

    int runs = 0;
    bool refuses = false;
    bool silent = false;
    std::function<void()> on_serve;
};

struct fixture
{
    std::unique_ptr<at_most_once_executor> instance(const std::string& name)
    {
        auto made = std::make_unique<at_most_once_executor>(
            this->options,
            instance_id{name},
            this->claims,
            this->peers,
            this->waits,
            this->time);
        this->peers.members[instance_id{name}] = made.get();
        return made;
    }

    claim_request request(std::uint64_t content = 1)
    {
        return {
            {workspace_id{"helwan"}, idempotency_key{"booking-1"}},
            fingerprint{content},
            this->time.now() + 10s};
    }

    ledger_answer send(at_most_once_executor& through)
    {
        return through.run(this->request(), this->service.dispatch());
    }

    void faults(const store_faults& next)
    {
        this->objects.set_faults(next);
    }

    std::uint64_t calls(store_call call) const
    {
        return this->objects.truth().calls[static_cast<std::size_t>(call)];
    }

    manual_clock time;
    store_model objects{time};
    store_claims claims{objects, objects};
    peer_network peers;
    virtual_sleeper waits{time};
    ledger_options options;
    fake_service service;
    std::unique_ptr<at_most_once_executor> a = instance("a");
    std::unique_ptr<at_most_once_executor> b = instance("b");
};

template <class Answer>
bool is(const ledger_answer& answer)
{
    return std::holds_alternative<Answer>(answer);
}

std::optional<not_run_reason> not_run(const ledger_answer& answer)
{
    const auto* no = std::get_if<ledger_not_run>(&answer);
    return no == nullptr ? std::nullopt : std::optional{no->reason};
}

} // namespace

TEST_CASE("a resend is answered from the record, through any instance")
{
    fixture f;
    CHECK(is<fresh_response>(f.send(*f.a)));
    CHECK(f.calls(store_call::create) == 1);
    CHECK(f.calls(store_call::update) == 1);
    CHECK(f.calls(store_call::get) == 0);

    for (at_most_once_executor* through : {f.a.get(), f.b.get()})
    {
        const ledger_answer again = f.send(*through);
        REQUIRE(is<replayed_response>(again));
        CHECK(std::get<replayed_response>(again).response.body == "booked");
    }
    CHECK(f.service.runs == 1);
    // Each resend costs one failed create and one read.
    CHECK(f.calls(store_call::create) == 3);
    CHECK(f.calls(store_call::get) == 2);
    CHECK(f.calls(store_call::update) == 1);
}

TEST_CASE("a key used for other content is refused")
{
    fixture f;
    f.send(*f.a);
    CHECK(is<key_reused>(f.b->run(f.request(2), f.service.dispatch())));
    CHECK(f.service.runs == 1);
}

TEST_CASE("with the store down a send is refused at once")
{
    fixture f;
    store_faults down;
    down.down = true;
    f.faults(down);
    const time_point before = f.time.now();
    CHECK(not_run(f.send(*f.a)) == not_run_reason::store_unavailable);
    CHECK(f.time.now() == before);
    CHECK(f.service.runs == 0);
    CHECK(f.calls(store_call::create) == 1);
    f.faults({});
    CHECK(is<fresh_response>(f.send(*f.b)));
    CHECK(f.service.runs == 1);
}

TEST_CASE("with every store call timing out a send ends after two calls")
{
    fixture f;
    store_faults slow;
    slow.delay = 1min;
    f.faults(slow);
    CHECK(not_run(f.send(*f.a)) == not_run_reason::claim_unconfirmed);
    CHECK(f.calls(store_call::create) == 1);
    CHECK(f.calls(store_call::get) == 1);
    // The claim takes effect a minute later and does not block other sends.
    f.faults({});
    f.time.advance(1min);
    CHECK(is<fresh_response>(f.send(*f.b)));
    CHECK(f.service.runs == 1);
}

TEST_CASE("a lost answer to the claim is resolved by reading it back")
{
    fixture f;
    store_faults lost;
    lost.lost_answers = 1;
    f.faults(lost);
    CHECK(is<fresh_response>(f.send(*f.a)));
    CHECK(f.service.runs == 1);
    CHECK(f.calls(store_call::get) == 1);
}

TEST_CASE("a claim that takes effect late does not block a resend")
{
    fixture f;
    store_faults late;
    late.late_writes = 3;
    late.late_by = 1h;
    f.faults(late);
    // The claim is read back, not found and retried until the call limit is
    // reached.
    CHECK(not_run(f.send(*f.a)) == not_run_reason::claim_unconfirmed);
    CHECK(f.service.runs == 0);
    CHECK(f.calls(store_call::create) + f.calls(store_call::get) == 5);
    f.objects.flush_late_writes();
    REQUIRE(f.objects.objects().size() == 1);

    SECTION("taken over through another instance after an inquiry")
    {
        CHECK(is<fresh_response>(f.send(*f.b)));
        CHECK(f.peers.inquiries == 1);
    }
    SECTION("taken over by the claimant itself")
    {
        CHECK(is<fresh_response>(f.send(*f.a)));
        CHECK(f.peers.inquiries == 0);
    }
    SECTION("removed by its writer")
    {
        f.time.advance(2s);
        f.a->settle();
        CHECK(f.objects.objects().empty());
        CHECK(is<fresh_response>(f.send(*f.b)));
    }
    SECTION("the claimant is gone: the outcome stays unknown")
    {
        f.peers.members.erase(instance_id{"a"});
        CHECK(is<ledger_unknown>(f.send(*f.b)));
        CHECK(f.service.runs == 0);
        return;
    }
    CHECK(f.service.runs == 1);
}

TEST_CASE("a resend while the first send runs waits for its outcome")
{
    fixture f;
    SECTION("through another instance")
    {
        std::optional<ledger_answer> second;
        // The test has one thread, so the second send is made from within the
        // first one.
        f.service.on_serve = [&]()
        {
            second = f.b->run(
                {f.request().key, fingerprint{1}, f.time.now() + 300ms},
                f.service.dispatch());
        };
        CHECK(is<fresh_response>(f.send(*f.a)));
        REQUIRE(second);
        CHECK(is<ledger_unknown>(*second));
        CHECK(
            std::get<ledger_unknown>(*second).reason ==
            unknown_reason::in_progress);
    }
    SECTION("through the same instance")
    {
        std::optional<ledger_answer> second;
        f.service.on_serve = [&]()
        {
            second = f.send(*f.a);
        };
        CHECK(is<fresh_response>(f.send(*f.a)));
        REQUIRE(second);
        CHECK(is<ledger_unknown>(*second));
        // The second send made no store call.
        CHECK(f.calls(store_call::create) == 1);
        CHECK(f.calls(store_call::get) == 0);
    }
    CHECK(f.service.runs == 1);
    CHECK(is<replayed_response>(f.send(*f.b)));
}

TEST_CASE("a refused dispatch releases its claim")
{
    fixture f;
    f.service.refuses = true;
    CHECK(not_run(f.send(*f.a)) == not_run_reason::service_refused);
    CHECK(f.objects.objects().empty());
    f.service.refuses = false;
    CHECK(is<fresh_response>(f.send(*f.b)));
    CHECK(f.service.runs == 1);
}

TEST_CASE("an outcome that the store did not accept is recorded later")
{
    fixture f;
    f.service.on_serve = [&]()
    {
        store_faults down;
        down.down = true;
        f.faults(down);
    };
    const ledger_answer first = f.send(*f.a);
    REQUIRE(is<fresh_response>(first));
    CHECK_FALSE(std::get<fresh_response>(first).recorded);
    CHECK(f.a->counts().unrecorded == 1);

    // While the store is down, each round makes one try and keeps the outcome.
    f.a->settle();
    CHECK(f.a->counts().unrecorded == 1);
    // The store is up but does not have the outcome yet: the claimant answers
    // the inquiry.
    f.faults({});
    CHECK(is<replayed_response>(f.send(*f.b)));
    f.a->settle();
    CHECK(f.a->counts().unrecorded == 0);
    CHECK(f.a->counts().in_flight == 0);
    f.peers.members.clear();
    CHECK(is<replayed_response>(f.send(*f.b)));
    CHECK(f.service.runs == 1);
}

TEST_CASE("a request without an answer from the service never runs again")
{
    fixture f;
    f.service.silent = true;
    CHECK(is<ledger_unknown>(f.send(*f.a)));
    f.service.silent = false;
    CHECK(is<ledger_unknown>(f.send(*f.a)));
    CHECK(is<ledger_unknown>(f.send(*f.b)));
    CHECK(f.service.runs == 1);
}

TEST_CASE("a claim past its deadline is released without a dispatch")
{
    fixture f;
    store_faults slow;
    slow.delay = 200ms;
    f.faults(slow);
    f.objects.on_delay(
        [&f](duration by)
        {
            f.time.advance(by);
        });
    const claim_request request{
        f.request().key, fingerprint{1}, f.time.now() + 100ms};
    CHECK(
        not_run(f.a->run(request, f.service.dispatch())) ==
        not_run_reason::deadline);
    CHECK(f.service.runs == 0);
    CHECK(f.objects.objects().empty());
}

TEST_CASE("an unreadable claim is never overwritten")
{
    fixture f;
    const claim_request request = f.request();
    f.objects
        .create(claim_object_key(request.key), "{not json", f.time.now() + 1s)
        .value();
    CHECK(is<ledger_unknown>(f.send(*f.a)));
    CHECK(f.service.runs == 0);
}

TEST_CASE("requests above the in-flight limit are refused")
{
    fixture f;
    f.options.max_attempts = 1;
    const auto c = f.instance("c");
    std::optional<ledger_answer> second;
    f.service.on_serve = [&]()
    {
        claim_request other = f.request();
        other.key.key = idempotency_key{"booking-2"};
        second = c->run(other, f.service.dispatch());
    };
    CHECK(is<fresh_response>(f.send(*c)));
    REQUIRE(second);
    CHECK(not_run(*second) == not_run_reason::overloaded);
}

TEST_CASE("claims are decoded as they were encoded")
{
    ledger_entry entry;
    entry.key = {workspace_id{"a/b"}, idempotency_key{"k \"1\""}};
    entry.content = fingerprint{0xfedcba9876543210U};
    entry.attempt = attempt_id{"i.1"};
    entry.claimant = instance_id{"i"};
    CHECK(decode_claim(encode_claim(entry)).value() == entry);
    entry.state = entry_state::completed;
    entry.response = {200, "image/png", std::string{"\x89\0\xff", 3}, true};
    CHECK(decode_claim(encode_claim(entry)).value() == entry);

    entry.response.body.assign(longest_kept_body + 1, 'x');
    const ledger_entry kept = decode_claim(encode_claim(entry)).value();
    CHECK_FALSE(kept.response.complete);
    CHECK(encode_claim(entry).size() < 1000);

    entry.response.body.pop_back();
    CHECK(encode_claim(entry).size() < std::size_t{1'000'000});
    CHECK(decode_claim("{}").error() == errc::malformed);
    CHECK(
        claim_object_key({workspace_id{"a"}, idempotency_key{"b/c"}}) !=
        claim_object_key({workspace_id{"a/b"}, idempotency_key{"c"}}));
    CHECK(is_valid(idempotency_key{"booking-1"}));
    CHECK_FALSE(is_valid(idempotency_key{"a b"}));
    CHECK_FALSE(is_valid(idempotency_key{std::string(256, 'a')}));
}
