#include "ledger_world.hpp"

#include "world_names.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace fireflysail
{

void ledger_world::finish(std::size_t which, const give_answer& what)
{
    send_state& one = this->sends[which];
    instance_state& host = this->instances[one.instance];
    one.at = send_state::phase::answered;
    one.answer = what.answer;
    if (one.session->unrecorded())
    {
        host.to_record.push_back(*one.session->unrecorded());
    }
    if (what.may_leave_claim)
    {
        host.orphaned_claims.push_back(one.session->id());
    }
    one.session.reset();
    const attempt_id own = attempt_of(which);
    if (const auto* no = std::get_if<ledger_not_run>(&what.answer))
    {
        if (std::ranges::find(this->rest.ran, own) != this->rest.ran.end())
        {
            this->say("said did-not-run after it ran");
        }
        const auto ran_earlier = [&one](const attempt_id& attempt)
        {
            return ((one.earlier >> send_of(attempt)) & 1U) != 0;
        };
        const auto ran_and_met = [&one, &own](const attempt_id& attempt)
        {
            return attempt != own && ((one.met >> send_of(attempt)) & 1U) != 0;
        };
        if (std::ranges::any_of(this->rest.ran, ran_and_met))
        {
            this->say("said did-not-run after meeting a send that ran");
        }
        if (no->earlier == earlier_sends::none_ran &&
            std::ranges::any_of(this->rest.ran, ran_earlier))
        {
            this->say("said that no earlier send ran after one did");
        }
    }
    if (const auto* fresh = std::get_if<fresh_response>(&what.answer))
    {
        if (fresh->response != response_of(own))
        {
            this->say("gave another send's answer as fresh");
        }
    }
    if (const auto* replayed = std::get_if<replayed_response>(&what.answer))
    {
        const attempt_id of{replayed->response.body};
        if (std::ranges::find(this->rest.ran, of) == this->rest.ran.end())
        {
            this->say("replayed the answer of what did not run");
        }
    }
}

void ledger_world::say(const std::string& broken_promise)
{
    if (std::ranges::find(this->rest.said, broken_promise) ==
        this->rest.said.end())
    {
        this->rest.said.push_back(broken_promise);
    }
}

std::vector<std::string> ledger_world::broken() const
{
    return this->rest.said;
}

bool ledger_world::all_answered() const
{
    const auto done = [](const send_state& one)
    {
        return one.at == send_state::phase::answered ||
               one.at == send_state::phase::crashed ||
               one.at == send_state::phase::not_started;
    };
    return std::ranges::all_of(this->sends, done);
}

ledger_answer ledger_world::resend_through(std::size_t instance)
{
    send_state& last = this->sends[last_send];
    last = send_state{};
    last.instance = instance;
    this->rest.faults_left = 0;
    this->start(last_send);
    if (last.at == send_state::phase::not_started)
    {
        // It waited for the send in flight here until its deadline.
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
            this->carry_out(last_send, fate::delivered);
        }
        // A send still in flight elsewhere is waited for until the
        // past_deadline.
        last.expired |= last.session && std::holds_alternative<wait_for>(
                                            this->next_command(last_send));
    }
    return *last.answer;
}

std::vector<std::string> ledger_world::broken_by_resend() const
{
    std::vector<std::string> all;
    for (std::size_t instance = 0; instance < 2; ++instance)
    {
        for (const bool deliver_first : {false, true})
        {
            ledger_world copy = *this;
            while (deliver_first && !copy.rest.late.empty())
            {
                copy.deliver(0);
            }
            if (!copy.instances[instance].up)
            {
                continue;
            }
            const bool had_run = !copy.rest.ran.empty();
            const ledger_answer answer = copy.resend_through(instance);
            const bool unknown = std::holds_alternative<ledger_unknown>(answer);
            const bool excused = copy.rest.silent || copy.rest.crashed;
            if (had_run && !unknown &&
                !std::holds_alternative<replayed_response>(answer))
            {
                copy.say("a resend of what ran was not told so");
            }
            if (unknown && !excused)
            {
                copy.say("a resend was left without an outcome");
            }
            if (!had_run && !excused &&
                !std::holds_alternative<fresh_response>(answer))
            {
                copy.say("a resend of what did not run was not served");
            }
            while (!copy.rest.late.empty())
            {
                copy.deliver(0);
            }
            std::ranges::copy(copy.rest.said, std::back_inserter(all));
        }
    }
    return all;
}

const send_state& ledger_world::send(std::size_t which) const
{
    return this->sends[which];
}

const std::array<send_state, 3>& ledger_world::all_sends() const
{
    return this->sends;
}

const std::array<instance_state, 2>& ledger_world::all_instances() const
{
    return this->instances;
}

const surroundings& ledger_world::everything_else() const
{
    return this->rest;
}

int ledger_world::runs() const
{
    return static_cast<int>(this->rest.ran.size());
}

std::string describe_action(const ledger_world::action& what)
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
        ", doubled",
        ", lagging"};
    return fmt::format(
        "{}({}{})",
        sorts.at(static_cast<std::size_t>(what.what)),
        what.which,
        fates.at(static_cast<std::size_t>(what.comes_to)));
}

} // namespace fireflysail
