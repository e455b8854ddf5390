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

/// Outcome of one message.
enum class message_fate
{
    delivered,
    /// The message has no effect, and the sender gets an error that says so.
    refused,
    request_lost,
    answer_lost,
    /// The sender gets no answer. The message arrives at any later time.
    late,
    /// Delivered and answered. A copy arrives at any later time.
    duplicated,
    /// A read that returns the state before the last write.
    stale_read,
};

/// Bugs injected into the program under test, to show that the checks detect
/// them.
enum class injected_bug
{
    none,
    /// The claim of a claimant that does not answer is treated as abandoned.
    claim_expires,
    /// A claimant disowns an attempt and dispatches it nevertheless.
    dispatch_after_disowning,
    /// A claim whose answer was lost is treated as confirmed.
    unconfirmed_dispatch,
};

struct model_options
{
    /// The instance that each of the two sends goes through.
    std::array<std::size_t, 2> through{0, 1};
    int faults = 2;
    int crashes = 1;
    bool service_lookup = false;
    injected_bug injected = injected_bug::none;
};

// Replies that the sender of a command may receive.

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

/// A message that has not arrived yet.
struct late_message
{
    enum class message_kind
    {
        create,
        update,
        remove,
        inquiry,
        dispatch,
    };

    message_kind kind = message_kind::create;
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
        /// Marked as dispatched, but the request has not been sent yet.
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
    /// Bit set of the sends that were dispatched before this one started.
    unsigned dispatched_before = 0;
    /// Bit set of the sends whose claim this send has seen.
    unsigned seen_claims = 0;
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

/// State of everything other than the sends and the instances.
struct environment_state
{
    std::optional<versioned_entry> object;
    /// The object before the last write.
    std::optional<versioned_entry> previous;
    revision version;
    std::vector<late_message> late;
    /// Attempts that ran, in order.
    std::vector<attempt_id> ran;
    /// Bit set of the sends that were dispatched.
    unsigned dispatched = 0;
    /// True if the service has left a dispatch without an answer.
    bool silent = false;
    bool crashed = false;
    int faults_left = 0;
    int crashes_left = 0;
    std::vector<std::string> violations;

    auto operator<=>(const environment_state&) const = default;
};

/// Model of two sends of one request through one or two instances, one store
/// and one service. Every external event is an action, so that a search over
/// actions covers every possible run.
class ledger_model
{
public:
    struct action
    {
        enum class action_kind
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

        action_kind kind = action_kind::start;
        std::size_t index = 0;
        message_fate fate = message_fate::delivered;
    };

    explicit ledger_model(const model_options& options);

    std::vector<action> possible_actions() const;

    void take(const action& step);

    /// Every guarantee that is violated in this state.
    std::vector<std::string> violations() const;

    /// Resends the request without faults through each instance that is up, and
    /// returns the guarantees that are violated.
    std::vector<std::string> violations_after_resend() const;

    bool all_answered() const;

    const std::array<send_state, 3>& all_sends() const;
    const std::array<instance_state, 2>& all_instances() const;
    const environment_state& current_environment() const;

    /// Accessors for tests that take a given sequence of actions.
    const send_state& send(std::size_t index) const;
    int runs() const;
    session_command next_command(std::size_t index) const;

    /// Resends the request through `instance` without faults and returns the
    /// answer.
    ledger_answer resend_through(std::size_t instance);

private:
    friend class command_simulator;

    std::vector<message_fate> fates(std::size_t index) const;
    void start(std::size_t index);
    void carry_out(std::size_t index, message_fate fate);
    void process(std::size_t index);
    void crash(std::size_t instance);
    void deliver(std::size_t index);
    void record(std::size_t instance, message_fate fate);
    void clean_up(std::size_t instance);
    void finish(std::size_t index, const give_answer& command);
    void run_service(const attempt_id& attempt);
    write_reply write(const late_message& message, message_fate fate);
    write_reply apply(const late_message& message);
    claimant_answer inquire(const ask_claimant& command, message_fate fate);
    claimant_answer unanswered() const;
    void add_violation(const std::string& violation);

    const model_options* options;
    std::array<send_state, 3> sends;
    std::array<instance_state, 2> instances;
    environment_state environment;
};

/// Text for test output, for example "start(0)" or "carry_out(1, late)".
std::string describe_action(const ledger_model::action& step);

} // namespace fireflysail
