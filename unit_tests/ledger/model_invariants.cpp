#include "ledger_model.hpp"

#include "model_names.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace fireflysail
{

void ledger_model::finish(std::size_t index, const give_answer& command)
{
    send_state& one = this->sends[index];
    instance_state& host = this->instances[one.instance];
    one.at = send_state::phase::answered;
    one.answer = command.answer;
    if (one.session->unrecorded())
    {
        host.to_record.push_back(*one.session->unrecorded());
    }
    if (command.may_leave_claim)
    {
        host.orphaned_claims.push_back(one.session->id());
    }
    one.session.reset();
    const attempt_id own = attempt_of(index);
    if (const auto* no = std::get_if<ledger_not_run>(&command.answer))
    {
        if (std::ranges::find(this->environment.ran, own) !=
            this->environment.ran.end())
        {
            this->add_violation("said did-not-run after it ran");
        }
        const auto ran_earlier = [&one](const attempt_id& attempt)
        {
            return ((one.dispatched_before >> send_of(attempt)) & 1U) != 0;
        };
        const auto seen_and_ran = [&one, &own](const attempt_id& attempt)
        {
            return attempt != own &&
                   ((one.seen_claims >> send_of(attempt)) & 1U) != 0;
        };
        if (std::ranges::any_of(this->environment.ran, seen_and_ran))
        {
            this->add_violation(
                "said did-not-run after seeing the claim of a send that ran");
        }
        if (no->earlier == earlier_sends::none_ran &&
            std::ranges::any_of(this->environment.ran, ran_earlier))
        {
            this->add_violation("said that no earlier send ran after one did");
        }
    }
    if (const auto* fresh = std::get_if<fresh_response>(&command.answer))
    {
        if (fresh->response != response_of(own))
        {
            this->add_violation("gave another send's answer as fresh");
        }
    }
    if (const auto* replayed = std::get_if<replayed_response>(&command.answer))
    {
        const attempt_id of{replayed->response.body};
        if (std::ranges::find(this->environment.ran, of) ==
            this->environment.ran.end())
        {
            this->add_violation(
                "replayed the response of an attempt that did not run");
        }
    }
}

void ledger_model::add_violation(const std::string& violation)
{
    if (std::ranges::find(this->environment.violations, violation) ==
        this->environment.violations.end())
    {
        this->environment.violations.push_back(violation);
    }
}

std::vector<std::string> ledger_model::violations() const
{
    return this->environment.violations;
}

bool ledger_model::all_answered() const
{
    const auto done = [](const send_state& one)
    {
        return one.at == send_state::phase::answered ||
               one.at == send_state::phase::crashed ||
               one.at == send_state::phase::not_started;
    };
    return std::ranges::all_of(this->sends, done);
}

ledger_answer ledger_model::resend_through(std::size_t instance)
{
    send_state& last = this->sends[last_send];
    last = send_state{};
    last.instance = instance;
    this->environment.faults_left = 0;
    this->start(last_send);
    if (last.at == send_state::phase::not_started)
    {
        // It waited until its deadline for the send in flight on this instance.
        return ledger_unknown{unknown_reason::in_progress};
    }
    while (last.at != send_state::phase::answered)
    {
        if (last.at == send_state::phase::has_reply)
        {
            this->process(last_send);
        }
        else
        {
            this->carry_out(last_send, message_fate::delivered);
        }
        // Waiting for a send that is in flight on the other instance ends at
        // the deadline.
        last.expired |= last.session && std::holds_alternative<wait_for>(
                                            this->next_command(last_send));
    }
    return *last.answer;
}

std::vector<std::string> ledger_model::violations_after_resend() const
{
    std::vector<std::string> all;
    for (std::size_t instance = 0; instance < 2; ++instance)
    {
        for (const bool deliver_first : {false, true})
        {
            ledger_model copy = *this;
            while (deliver_first && !copy.environment.late.empty())
            {
                copy.deliver(0);
            }
            if (!copy.instances[instance].up)
            {
                continue;
            }
            const bool had_run = !copy.environment.ran.empty();
            const ledger_answer answer = copy.resend_through(instance);
            const bool unknown = std::holds_alternative<ledger_unknown>(answer);
            const bool excused =
                copy.environment.silent || copy.environment.crashed;
            if (had_run && !unknown &&
                !std::holds_alternative<replayed_response>(answer))
            {
                copy.add_violation("a resend of a request that ran got neither "
                                   "its response nor unknown");
            }
            if (unknown && !excused)
            {
                copy.add_violation("a resend got an unknown outcome without a "
                                   "crash or lost answer");
            }
            if (!had_run && !excused &&
                !std::holds_alternative<fresh_response>(answer))
            {
                copy.add_violation(
                    "a resend of a request that did not run was not served");
            }
            while (!copy.environment.late.empty())
            {
                copy.deliver(0);
            }
            std::ranges::copy(
                copy.environment.violations, std::back_inserter(all));
        }
    }
    return all;
}

const send_state& ledger_model::send(std::size_t index) const
{
    return this->sends[index];
}

const std::array<send_state, 3>& ledger_model::all_sends() const
{
    return this->sends;
}

const std::array<instance_state, 2>& ledger_model::all_instances() const
{
    return this->instances;
}

const environment_state& ledger_model::current_environment() const
{
    return this->environment;
}

int ledger_model::runs() const
{
    return static_cast<int>(this->environment.ran.size());
}

std::string describe_action(const ledger_model::action& step)
{
    constexpr std::array<const char*, 8> sorts{
        "start",
        "carry_out",
        "process",
        "expire",
        "crash",
        "deliver",
        "record",
        "clean_up"};
    constexpr std::array<const char*, 7> fates{
        "",
        ", refused",
        ", request_lost",
        ", answer_lost",
        ", late",
        ", duplicated",
        ", stale_read"};
    return fmt::format(
        "{}({}{})",
        sorts.at(static_cast<std::size_t>(step.kind)),
        step.index,
        fates.at(static_cast<std::size_t>(step.fate)));
}

} // namespace fireflysail
