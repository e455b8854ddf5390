#pragma once

#include "common/error.hpp"
#include "ledger/attempt_table.hpp"
#include "ledger/claim_session.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace fireflysail
{

/// What becomes of one message.
enum class fate
{
    delivered,
    /// No effect, and the sender is told so.
    refused,
    request_lost,
    answer_lost,
    /// The sender hears nothing; it arrives at any later moment.
    late,
    /// Delivered and answered, and arrives again at any later moment.
    doubled,
    /// Answered from the state before the last write.
    lagging,
};

/// Faults of the program under test, to show that the checks find them.
enum class planted_fault
{
    none,
    /// A claim whose claimant does not answer counts as abandoned.
    claim_lapses,
    /// A claimant gives its word and dispatches all the same.
    word_not_kept,
    /// A claim whose answer was lost counts as confirmed.
    unconfirmed_dispatch,
};

struct world_options
{
    /// The instance that each of the two sends goes through.
    std::array<std::size_t, 2> through{0, 1};
    int faults = 2;
    int crashes = 1;
    bool service_lookup = false;
    planted_fault planted = planted_fault::none;
};

// What the sender of a command has received.

struct write_reply
{
    std::optional<errc> error;
    revision version;

    auto operator<=>(const write_reply&) const = default;
};

struct read_reply
{
    std::optional<errc> error;
    versioned_entry found;

    auto operator<=>(const read_reply&) const = default;
};

struct forbidden_reply
{
    auto operator<=>(const forbidden_reply&) const = default;
};

struct waited_reply
{
    auto operator<=>(const waited_reply&) const = default;
};

using reply = std::variant<
    std::monostate,
    write_reply,
    read_reply,
    claimant_answer,
    lookup_answer,
    dispatch_result,
    forbidden_reply,
    waited_reply>;

/// A message that will arrive, or has still to.
struct late_message
{
    enum class sort
    {
        create,
        update,
        remove,
        inquiry,
        dispatch,
    };

    sort what = sort::create;
    ledger_entry entry;
    revision expected;
    std::size_t instance = 0;

    auto operator<=>(const late_message&) const = default;
};

struct send_state
{
    enum class phase
    {
        not_started,
        ready,
        /// Marked as dispatched; the request is not sent yet.
        dispatching,
        has_reply,
        answered,
        crashed,
    };

    std::size_t instance = 0;
    phase at = phase::not_started;
    std::optional<claim_session> session;
    reply received;
    bool expired = false;
    /// Sends that were dispatched before this one began, by bit.
    unsigned earlier = 0;
    /// Sends whose claim this one was shown, by bit.
    unsigned met = 0;
    std::optional<ledger_answer> answer;

    auto operator<=>(const send_state&) const = default;
};

struct instance_state
{
    bool up = true;
    attempt_table attempts{8};
    std::vector<record_outcome> to_record;
    std::vector<attempt_id> orphaned_claims;

    auto operator<=>(const instance_state&) const = default;
};

/// Everything but the sends and the instances.
struct surroundings
{
    std::optional<versioned_entry> object;
    /// The object before the last write.
    std::optional<versioned_entry> previous;
    revision version;
    std::vector<late_message> late;
    /// Attempts that ran, in order.
    std::vector<attempt_id> ran;
    /// Sends that were dispatched, by bit.
    unsigned dispatched = 0;
    /// The service once left a dispatch without an answer.
    bool silent = false;
    bool crashed = false;
    int faults_left = 0;
    int crashes_left = 0;
    std::vector<std::string> said;

    auto operator<=>(const surroundings&) const = default;
};

/// Two sends of one request through one or two instances, one store, one
/// service. Every choice that the outside world has is an action, so that a
/// search over actions goes through all that can happen.
class ledger_world
{
public:
    struct action
    {
        enum class sort
        {
            start,
            carry_out,
            process,
            expire,
            crash,
            deliver,
            record,
            clean_up,
        };

        sort what = sort::start;
        std::size_t which = 0;
        fate comes_to = fate::delivered;
    };

    explicit ledger_world(const world_options& options);

    std::vector<action> possible() const;

    void take(const action& what);

    /// Every promise that this state breaks.
    std::vector<std::string> broken() const;

    /// Sends the request once more, without faults, through an instance that
    /// is up, and says what promise is broken by what comes of it.
    std::vector<std::string> broken_by_resend() const;

    bool all_answered() const;

    const std::array<send_state, 3>& all_sends() const;
    const std::array<instance_state, 2>& all_instances() const;
    const surroundings& everything_else() const;

    /// For directed tests.
    const send_state& send(std::size_t which) const;
    int runs() const;
    session_command next_command(std::size_t which) const;

    /// Sends again through `instance` without faults, and gives the answer.
    ledger_answer resend_through(std::size_t instance);

private:
    friend class command_carrier;

    std::vector<fate> fates(std::size_t which) const;
    void start(std::size_t which);
    void carry_out(std::size_t which, fate comes_to);
    void process(std::size_t which);
    void crash(std::size_t instance);
    void deliver(std::size_t which);
    void record(std::size_t instance, fate comes_to);
    void clean_up(std::size_t instance);
    void finish(std::size_t which, const give_answer& what);
    void run_service(const attempt_id& attempt);
    write_reply write(const late_message& what, fate comes_to);
    write_reply apply(const late_message& what);
    claimant_answer inquire(const ask_claimant& what, fate comes_to);
    claimant_answer unanswered() const;
    void say(const std::string& broken_promise);

    const world_options* options;
    std::array<send_state, 3> sends;
    std::array<instance_state, 2> instances;
    surroundings rest;
};

/// For messages, e.g. "start(0)" or "carry_out(1, late)".
std::string describe_action(const ledger_world::action& what);

} // namespace fireflysail
