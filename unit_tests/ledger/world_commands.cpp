#include "ledger_world.hpp"

#include "world_names.hpp"

#include "ledger/attempt_updates.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

/// Carries out one command of one send against the world.
class command_carrier
{
public:
    command_carrier(ledger_world& world, std::size_t which, fate comes_to)
        : world{world}
        , which{which}
        , comes_to{comes_to}
    {
    }

    reply operator()(const create_claim& what) const
    {
        return this->claim(
            {late_message::sort::create, what.entry, revision{}});
    }

    reply operator()(const take_over_claim& what) const
    {
        return this->claim(
            {late_message::sort::update, what.entry, what.expected});
    }

    reply operator()(const read_claim&) const
    {
        if (this->comes_to == fate::refused)
        {
            return read_reply{errc::unavailable, {}};
        }
        const auto& shown = this->comes_to == fate::lagging
                                ? this->world.rest.previous
                                : this->world.rest.object;
        if (!shown)
        {
            return read_reply{errc::not_found, {}};
        }
        this->meet(shown->entry.attempt);
        return read_reply{std::nullopt, *shown};
    }

    reply operator()(const ask_claimant& what) const
    {
        return this->world.inquire(what, this->comes_to);
    }

    reply operator()(const lookup_at_service& what) const
    {
        const bool ran =
            std::ranges::find(this->world.rest.ran, what.attempt) !=
            this->world.rest.ran.end();
        if (this->world.options->service_lookup && ran)
        {
            return lookup_answer{lookup_ran{response_of(what.attempt)}};
        }
        return lookup_answer{lookup_inconclusive{}};
    }

    reply operator()(const dispatch_request& what) const
    {
        switch (this->comes_to)
        {
        case fate::refused:
            return dispatch_result{service_refused{}};
        case fate::request_lost:
            this->world.rest.silent = true;
            return dispatch_result{service_no_answer{}};
        case fate::answer_lost:
            this->world.rest.silent = true;
            this->world.run_service(what.attempt);
            return dispatch_result{service_no_answer{}};
        case fate::late:
        {
            this->world.rest.silent = true;
            late_message message{late_message::sort::dispatch, {}, {}};
            message.entry.attempt = what.attempt;
            this->world.rest.late.push_back(message);
            return dispatch_result{service_no_answer{}};
        }
        default:
            this->world.run_service(what.attempt);
            return dispatch_result{
                service_completed{response_of(what.attempt)}};
        }
    }

    reply operator()(const record_outcome& what) const
    {
        return this->world.write(
            {late_message::sort::update, what.entry, what.expected},
            this->comes_to);
    }

    reply operator()(const release_claim& what) const
    {
        return this->world.write(
            {late_message::sort::remove, {}, what.expected}, this->comes_to);
    }

    reply operator()(const wait_for&) const
    {
        return waited_reply{};
    }

    reply operator()(const give_answer& what) const
    {
        this->world.finish(this->which, what);
        return std::monostate{};
    }

private:
    void meet(const attempt_id& holder) const
    {
        this->world.sends[this->which].met |= 1U << send_of(holder);
    }

    reply claim(const late_message& what) const
    {
        write_reply got = this->world.write(what, this->comes_to);
        if (got.error == errc::conflict)
        {
            this->meet(this->world.rest.object->entry.attempt);
        }
        const bool lost = got.error == errc::unknown_effect;
        const bool planted =
            this->world.options->planted == planted_fault::unconfirmed_dispatch;
        if (lost && planted)
        {
            return write_reply{std::nullopt, this->world.rest.version.next()};
        }
        return got;
    }

    ledger_world& world;
    const std::size_t which;
    const fate comes_to;
};

void ledger_world::carry_out(std::size_t which, fate comes_to)
{
    send_state& one = this->sends[which];
    const session_command command =
        one.session->next(one.expired ? past_deadline : in_time);
    attempt_table& attempts = this->instances[one.instance].attempts;
    const bool sends_now = one.at == send_state::phase::dispatching;
    if (!sends_now && !update_attempts(*one.session, command, attempts))
    {
        one.received = forbidden_reply{};
        one.at = send_state::phase::has_reply;
        return;
    }
    if (!sends_now && std::holds_alternative<dispatch_request>(command))
    {
        this->rest.dispatched |= 1U << which;
        one.at = send_state::phase::dispatching;
        return;
    }
    one.at = send_state::phase::has_reply;
    one.received = std::visit(command_carrier{*this, which, comes_to}, command);
}

void ledger_world::run_service(const attempt_id& attempt)
{
    this->rest.ran.push_back(attempt);
    if (this->rest.ran.size() > 1)
    {
        this->say("ran twice");
    }
    const send_state& sender = this->sends[send_of(attempt)];
    if (sender.answer && std::holds_alternative<ledger_not_run>(*sender.answer))
    {
        this->say("ran after it was said not to run");
    }
}

write_reply ledger_world::write(const late_message& what, fate comes_to)
{
    switch (comes_to)
    {
    case fate::refused:
        return {errc::unavailable, {}};
    case fate::request_lost:
        return {errc::unknown_effect, {}};
    case fate::answer_lost:
        this->apply(what);
        return {errc::unknown_effect, {}};
    case fate::late:
        this->rest.late.push_back(what);
        return {errc::unknown_effect, {}};
    case fate::doubled:
        this->rest.late.push_back(what);
        return this->apply(what);
    case fate::delivered:
    case fate::lagging:
        break;
    }
    return this->apply(what);
}

write_reply ledger_world::apply(const late_message& what)
{
    if (what.what == late_message::sort::create)
    {
        if (this->rest.object)
        {
            return {errc::conflict, {}};
        }
    }
    else
    {
        if (!this->rest.object)
        {
            return {errc::not_found, {}};
        }
        if (this->rest.object->version != what.expected)
        {
            return {errc::conflict, {}};
        }
    }
    this->rest.version = this->rest.version.next();
    this->rest.previous = this->rest.object;
    if (what.what == late_message::sort::remove)
    {
        this->rest.object.reset();
    }
    else
    {
        this->rest.object = versioned_entry{what.entry, this->rest.version};
    }
    return {std::nullopt, this->rest.version};
}

claimant_answer ledger_world::inquire(const ask_claimant& what, fate comes_to)
{
    instance_state& claimant = this->instances[instance_of(what.claimant)];
    if (comes_to == fate::request_lost || !claimant.up)
    {
        return this->unanswered();
    }
    if (comes_to == fate::late)
    {
        late_message message{late_message::sort::inquiry, {}, {}};
        message.entry.attempt = what.attempt;
        message.instance = instance_of(what.claimant);
        this->rest.late.push_back(message);
        return this->unanswered();
    }
    attempt_table unchanged = claimant.attempts;
    claimant_answer got = claimant.attempts.answer_inquiry(what.attempt);
    if (this->options->planted == planted_fault::word_not_kept)
    {
        claimant.attempts = std::move(unchanged);
    }
    return comes_to == fate::answer_lost ? this->unanswered() : got;
}

claimant_answer ledger_world::unanswered() const
{
    if (this->options->planted == planted_fault::claim_lapses)
    {
        return claimant_disowned{true};
    }
    return claimant_unreachable{};
}

void ledger_world::deliver(std::size_t which)
{
    const late_message message = this->rest.late[which];
    this->rest.late.erase(
        this->rest.late.begin() + static_cast<std::ptrdiff_t>(which));
    switch (message.what)
    {
    case late_message::sort::inquiry:
        if (this->instances[message.instance].up)
        {
            this->instances[message.instance].attempts.answer_inquiry(
                message.entry.attempt);
        }
        return;
    case late_message::sort::dispatch:
        this->run_service(message.entry.attempt);
        return;
    default:
        this->apply(message);
    }
}

} // namespace fireflysail
