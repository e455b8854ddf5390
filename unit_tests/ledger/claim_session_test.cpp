#include "ledger/claim_session.hpp"

#include "common/error.hpp"

#include <catch2/catch.hpp>

#include <variant>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const claim_request request{
    {workspace_id{"w"}, idempotency_key{"k"}},
    fingerprint{1},
    time_point{} + 1s};

struct fixture
{
    template <class Command>
    Command next(time_point now = {})
    {
        const session_command command = this->session.next(now);
        REQUIRE(std::holds_alternative<Command>(command));
        return std::get<Command>(command);
    }

    ledger_not_run not_run(time_point now = {})
    {
        const ledger_answer answer = this->next<give_answer>(now).answer;
        REQUIRE(std::holds_alternative<ledger_not_run>(answer));
        return std::get<ledger_not_run>(answer);
    }

    claim_session session{request, attempt_id{"a.1"}, instance_id{"a"}, {}};
};

} // namespace

TEST_CASE("a send that was taken over does not claim again")
{
    fixture f;
    const ledger_entry claim = f.next<create_claim>().entry;
    f.session.on_written(revision{3});
    f.next<dispatch_request>();
    f.session.on_dispatch_denied();
    f.next<read_claim>();
    SECTION("its claim still stands")
    {
        f.session.on_read(versioned_entry{claim, revision{3}});
        CHECK(f.next<release_claim>().expected == revision{3});
        f.session.on_written(revision{4});
        const ledger_not_run answer = f.not_run();
        CHECK(answer.reason == not_run_reason::taken_over);
        CHECK(answer.earlier == earlier_sends::none_ran);
    }
    SECTION("its claim seems to stand, but the read is stale")
    {
        f.session.on_read(versioned_entry{claim, revision{3}});
        f.next<release_claim>();
        f.session.on_written(errc::conflict);
        f.next<read_claim>();
        f.session.on_read(errc::unavailable);
        CHECK(std::holds_alternative<ledger_unknown>(
            f.next<give_answer>().answer));
    }
    SECTION("no entry: the other claim is gone, or the read is stale")
    {
        f.session.on_read(errc::not_found);
        CHECK(std::holds_alternative<ledger_unknown>(
            f.next<give_answer>().answer));
    }
    SECTION("the other send holds the claim, and its outcome is returned")
    {
        ledger_entry other = claim;
        other.attempt = attempt_id{"b.1"};
        other.claimant = instance_id{"b"};
        other.state = entry_state::completed;
        other.response.body = "booked";
        f.session.on_read(versioned_entry{other, revision{5}});
        const auto answer = f.next<give_answer>().answer;
        REQUIRE(std::holds_alternative<replayed_response>(answer));
    }
}

TEST_CASE("a claim that is not confirmed by the store is not dispatched")
{
    fixture f;
    f.next<create_claim>();
    SECTION("the budget is used up: nothing was sent")
    {
        f.session.on_written(errc::over_budget);
        CHECK(f.not_run().reason == not_run_reason::over_budget);
        CHECK_FALSE(f.next<give_answer>().may_leave_claim);
    }
    SECTION("neither written nor read: the claim may be left")
    {
        f.session.on_written(errc::unknown_effect);
        f.next<read_claim>();
        f.session.on_read(errc::unavailable);
        CHECK(f.not_run().reason == not_run_reason::claim_unconfirmed);
        CHECK(f.not_run().earlier == earlier_sends::not_known);
        CHECK(f.next<give_answer>().may_leave_claim);
    }
    SECTION("unreadable entry: another send may have run")
    {
        f.session.on_written(errc::unknown_effect);
        f.next<read_claim>();
        f.session.on_read(errc::malformed);
        CHECK(std::holds_alternative<ledger_unknown>(
            f.next<give_answer>().answer));
    }
    SECTION("confirmed at the deadline: released, not dispatched")
    {
        f.session.on_written(revision{3});
        CHECK(f.next<release_claim>(request.deadline).expected == revision{3});
        f.session.on_written(revision{4});
        CHECK(f.not_run().reason == not_run_reason::deadline);
    }
}

TEST_CASE("a contested claim that is not released gives an unknown outcome")
{
    fixture f;
    const ledger_entry claim = f.next<create_claim>().entry;
    // The existing claim may be this send's own first write or one by another
    // send.
    f.session.on_written(errc::unknown_effect);
    f.next<read_claim>();
    f.session.on_read(errc::not_found);
    f.next<create_claim>();
    f.session.on_written(errc::conflict);
    f.next<read_claim>();
    f.session.on_read(versioned_entry{claim, revision{3}});
    f.next<release_claim>(request.deadline);
    SECTION("no answer to the release")
    {
        f.session.on_written(errc::unknown_effect);
        CHECK(std::holds_alternative<ledger_unknown>(
            f.next<give_answer>().answer));
    }
    SECTION("released: no other send had taken it over")
    {
        f.session.on_written(revision{4});
        CHECK(f.not_run().earlier == earlier_sends::none_ran);
    }
}

TEST_CASE("an inquiry is answered for one version of the claim")
{
    fixture f;
    ledger_entry other = f.next<create_claim>().entry;
    other.attempt = attempt_id{"b.1"};
    other.claimant = instance_id{"b"};
    f.session.on_written(errc::conflict);
    f.next<read_claim>();
    f.session.on_read(versioned_entry{other, revision{7}});
    CHECK(f.next<ask_claimant>().attempt == attempt_id{"b.1"});
    f.session.on_claimant(claimant_disowned{true});
    CHECK(f.next<take_over_claim>().expected == revision{7});

    // The write was lost: it is repeated for the same version without a second
    // inquiry.
    f.session.on_written(errc::unknown_effect);
    f.next<read_claim>();
    f.session.on_read(versioned_entry{other, revision{7}});
    CHECK(f.next<take_over_claim>().expected == revision{7});
}
