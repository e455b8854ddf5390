#include "control/entry_editor.hpp"

#include "common/error.hpp"
#include "control/entry_reader.hpp"
#include "control/objects.hpp"
#include "control/store_decorator.hpp"
#include "store_model.hpp"

#include <catch2/catch.hpp>

#include <fmt/format.h>

#include <algorithm>

using namespace fireflysail;
using namespace fireflysail::testing;
using nlohmann::json;

namespace
{

const std::string gold_document =
    R"({"requests_per_second":5,"tokens_per_second":9,"concurrency":3})";

std::string plan_document(const std::string& plan)
{
    return R"({"plan":")" + plan + R"("})";
}

edit_request request_of(
    const std::string& id, std::uint64_t based_on, bool first_attempt = true)
{
    return {
        edit_id{id},
        "mona",
        office_id{"cairo"},
        revision{based_on},
        first_attempt};
}

struct fixture
{
    manual_clock time;
    store_model objects{time};
    store_decorator decorated_store{objects};
    entry_editor editor{decorated_store, time};
    entry_reader reader{decorated_store, time};
    revision gold;

    fixture()
    {
        this->gold = this->accepted(this->editor.set(
            entry_kind::entitlement,
            "gold",
            gold_document,
            request_of("seed", 0)));
    }

    static revision accepted(const edit_outcome& outcome)
    {
        INFO(to_json_text(outcome));
        REQUIRE(std::holds_alternative<edit_accepted>(outcome));
        return std::get<edit_accepted>(outcome).version;
    }

    edit_outcome set_plan(
        const edit_request& request,
        const std::string& workspace = "acme",
        const std::string& plan = "gold")
    {
        return this->editor.set(
            entry_kind::plan, workspace, plan_document(plan), request);
    }

    /// Versions of plan/<workspace> in the store's watch history.
    std::vector<std::uint64_t> versions_of(const std::string& workspace)
    {
        this->objects.set_faults({});
        this->objects.flush_late_writes();
        std::vector<std::uint64_t> versions;
        const auto all = this->objects.watch({plan_kind}, revision{}, {});
        for (const auto& event : all.value().events)
        {
            if (event.object.key.name == workspace)
            {
                versions.push_back(event.object.version.value());
            }
        }
        return versions;
    }

    std::size_t audit_records()
    {
        return json::parse(this->reader.audit().value()).size();
    }
};

} // namespace

TEST_CASE_METHOD(
    fixture, "an accepted edit is readable and recorded in the audit trail")
{
    const auto made = accepted(set_plan(request_of("e1", 0)));
    const auto shown =
        json::parse(reader.get(entry_kind::plan, "acme").value());
    CHECK(shown["version"] == made.value());
    CHECK(shown["entry"]["plan"] == "gold");
    CHECK(shown["last_edit"]["user"] == "mona");

    const auto gone = accepted(editor.remove(
        entry_kind::plan, "acme", request_of("e2", made.value())));
    CHECK(
        json::parse(reader.list(entry_kind::plan).value())["entries"].empty());

    accepted(set_plan(request_of("e3", 0)));
    const auto history =
        json::parse(reader.history(entry_kind::plan, "acme").value());
    REQUIRE(history.size() == 3);
    CHECK(history[1]["removal"] == true);
    CHECK(history[1]["version"] == gone.value());
    CHECK(history[2]["based_on"] == gone.value());
    CHECK(audit_records() == 4);
}

TEST_CASE_METHOD(
    fixture, "a concurrent edit gets a conflict with the current entry")
{
    const auto first = accepted(set_plan(request_of("e1", 0)));
    accepted(set_plan(request_of("cairo", first.value())));
    const auto outcome = set_plan(request_of("sofia", first.value()));
    REQUIRE(std::holds_alternative<edit_conflict>(outcome));
    const auto current = json::parse(std::get<edit_conflict>(outcome).current);
    CHECK(current["last_edit"]["id"] == "cairo");

    CHECK(
        std::holds_alternative<edit_conflict>(set_plan(request_of("new", 0))));
    accepted(set_plan(request_of("other", 0), "other"));
    CHECK(versions_of("acme").size() == 2);
}

TEST_CASE_METHOD(
    fixture, "an edit overtaken between its read and its write is a conflict")
{
    decorated_store.before_next(
        store_call::create,
        [this]
        {
            accepted(set_plan(request_of("sofia", 0)));
        });
    CHECK(std::holds_alternative<edit_conflict>(
        set_plan(request_of("cairo", 0))));
    CHECK(versions_of("acme").size() == 1);
}

TEST_CASE_METHOD(
    fixture, "a lost response to a write is resolved by the edit id")
{
    store_faults faults;
    SECTION("after the write took effect")
    {
        faults.lost_answers = 1;
    }
    SECTION("before the write took effect")
    {
        faults.lost_requests = 1;
    }
    SECTION("while the write is still in flight")
    {
        faults.late_writes = 1;
        faults.late_by = std::chrono::seconds{30};
    }
    objects.set_faults(faults);
    const auto version = accepted(set_plan(request_of("e1", 0)));
    CHECK(versions_of("acme") == std::vector{version.value()});
    CHECK(audit_records() == 2);
}

TEST_CASE_METHOD(
    fixture, "an unresolved edit is reported as unknown, not as rejected")
{
    store_faults faults;
    faults.late_writes = 100;
    faults.late_by = std::chrono::seconds{30};
    objects.set_faults(faults);
    CHECK(std::holds_alternative<edit_unknown>(set_plan(request_of("e1", 0))));

    SECTION("the write took effect in the meantime")
    {
        objects.set_faults({});
        objects.flush_late_writes();
    }
    SECTION("the write is still in flight when the edit is resent")
    {
        objects.set_faults({});
    }
    const auto version = accepted(set_plan(request_of("e1", 0, false)));
    CHECK(versions_of("acme") == std::vector{version.value()});
}

TEST_CASE_METHOD(fixture, "a late write loses to an edit accepted before it")
{
    store_faults faults;
    faults.late_writes = 100;
    faults.late_by = std::chrono::seconds{30};
    objects.set_faults(faults);
    CHECK(std::holds_alternative<edit_unknown>(set_plan(request_of("e1", 0))));

    objects.set_faults({});
    const auto version = accepted(set_plan(request_of("sofia", 0)));
    objects.flush_late_writes();
    CHECK(std::holds_alternative<edit_conflict>(
        set_plan(request_of("e1", 0, false))));
    CHECK(versions_of("acme") == std::vector{version.value()});
}

TEST_CASE_METHOD(fixture, "while the store is down an edit is not accepted")
{
    store_faults faults;
    faults.down = true;
    objects.set_faults(faults);
    const auto outcome = set_plan(request_of("e1", 0));
    REQUIRE(std::holds_alternative<edit_not_accepted>(outcome));
    CHECK(std::get<edit_not_accepted>(outcome).reason == errc::unavailable);
    CHECK(std::holds_alternative<edit_unknown>(
        set_plan(request_of("e1", 0, false))));
    CHECK(versions_of("acme").empty());
}

TEST_CASE_METHOD(
    fixture, "an edit is unknown if the store fails after a lost response")
{
    store_faults faults;
    faults.lost_answers = 1;
    objects.set_faults(faults);
    decorated_store.after_next(
        store_call::create,
        [this]
        {
            store_faults down;
            down.down = true;
            objects.set_faults(down);
        });
    CHECK(std::holds_alternative<edit_unknown>(set_plan(request_of("e1", 0))));
    CHECK(versions_of("acme").size() == 1);
}

TEST_CASE_METHOD(
    fixture, "a late resend returns the version of the original edit")
{
    const auto first = accepted(set_plan(request_of("e1", 0)));
    auto version = first;
    for (int edit = 0; edit < 20; ++edit)
    {
        version = accepted(set_plan(
            request_of(fmt::format("later-{}", edit), version.value())));
    }
    const auto history =
        json::parse(reader.history(entry_kind::plan, "acme").value());
    CHECK(history.size() == 9);
    CHECK(accepted(set_plan(request_of("e1", 0, false))) == first);
    CHECK(audit_records() == 22);
}

TEST_CASE_METHOD(
    fixture, "an entry keeps edits while the audit trail cannot be written")
{
    decorated_store.fail_create_of_kind = audit_kind;
    auto version = accepted(set_plan(request_of("e0", 0)));
    for (int edit = 1; edit < 20; ++edit)
    {
        version = accepted(
            set_plan(request_of(fmt::format("e{}", edit), version.value())));
    }
    CHECK(audit_records() == 1);
    CHECK(
        json::parse(reader.history(entry_kind::plan, "acme").value()).size() ==
        20);
    decorated_store.fail_create_of_kind.clear();
    accepted(set_plan(request_of("last", version.value())));
    // All but the eight earlier edits in the entry's history.
    CHECK(audit_records() == 1 + 12 + 1);
}

TEST_CASE_METHOD(fixture, "a stale read never overwrites a newer edit")
{
    const auto first = accepted(set_plan(request_of("e1", 0)));
    store_faults faults;
    faults.stale_reads = true;
    objects.set_faults(faults);
    const auto second = accepted(set_plan(request_of("e2", first.value())));

    CHECK(std::holds_alternative<edit_not_accepted>(
        set_plan(request_of("e3", first.value()))));
    CHECK(std::holds_alternative<edit_not_accepted>(
        set_plan(request_of("e4", second.value()))));
    CHECK(versions_of("acme").size() == 2);

    // An edit based on a version that never existed is not accepted either.
    CHECK(std::holds_alternative<edit_not_accepted>(
        set_plan(request_of("e5", second.value() + 100))));
    CHECK(versions_of("acme").size() == 2);
}

TEST_CASE_METHOD(
    fixture, "an edit that would make the lists inconsistent is rejected")
{
    const auto mistakes_of = [](const edit_outcome& outcome)
    {
        INFO(to_json_text(outcome));
        REQUIRE(std::holds_alternative<edit_rejected>(outcome));
        return std::get<edit_rejected>(outcome).mistakes;
    };
    const std::string digest(64, 'b');
    const auto with_key =
        R"({"plan":"gold","key_digests":[")" + digest + R"("]})";
    accepted(
        editor.set(entry_kind::plan, "acme", with_key, request_of("e1", 0)));

    CHECK(
        mistakes_of(set_plan(request_of("e2", 0), "other", "bronze")) ==
        std::vector<mistake>{{"plan", "has no entitlement"}});
    CHECK(
        mistakes_of(editor.set(
            entry_kind::plan, "other", with_key, request_of("e3", 0))) ==
        std::vector<mistake>{{"key_digests", "a key of workspace acme"}});
    CHECK(
        mistakes_of(editor.remove(
            entry_kind::entitlement, "gold", request_of("e4", gold.value()))) ==
        std::vector<mistake>{{"name", "is the plan of workspace acme"}});
    CHECK(
        mistakes_of(editor.set(
            entry_kind::mark,
            "no-such",
            R"({"mark":"leaving"})",
            request_of("e5", 0))) ==
        std::vector<mistake>{{"name", "no such backend server"}});
    CHECK(
        mistakes_of(set_plan(request_of("e1", 0))) ==
        std::vector<mistake>{{"edit_id", "was used for a different edit"}});
    auto nameless = request_of("", 0);
    nameless.user = "";
    CHECK(mistakes_of(set_plan(nameless, "bad name")).size() == 3);
}

TEST_CASE_METHOD(fixture, "a malformed entry can be read and repaired")
{
    const auto broken =
        objects.create({plan_kind, "acme"}, "{\"plan\":4}", time.now()).value();
    const auto shown =
        json::parse(reader.get(entry_kind::plan, "acme").value());
    CHECK(shown["malformed"] == true);
    CHECK(std::holds_alternative<edit_conflict>(set_plan(request_of("e1", 0))));
    accepted(set_plan(request_of("e2", broken.value())));
}
