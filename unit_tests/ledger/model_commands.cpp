#include "ledger_model.hpp"

#include "model_names.hpp"

#include "ledger/attempt_updates.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

/// Executes one command of one send against the model.
class command_simulator
{
public:
    command_simulator(ledger_model& model, std::size_t index, message_fate fate)
        : model{model}
        , index{index}
        , fate{fate}
    {
    }

    reply operator()(const create_claim& command) const
    {
        return this->claim(
            {late_message::message_kind::create, command.entry, revision{}});
    }

    reply operator()(const take_over_claim& command) const
    {
        return this->claim(
            {late_message::message_kind::update,
             command.entry,
             command.expected});
    }

    reply operator()(const read_claim&) const
    {
        if (this->fate == message_fate::refused)
        {
            return read_reply{errc::unavailable, {}};
        }
        const auto& shown = this->fate == message_fate::stale_read
                                ? this->model.environment.previous
                                : this->model.environment.object;
        if (!shown)
        {
            return read_reply{errc::not_found, {}};
        }
        this->record_seen_claim(shown->entry.attempt);
        return read_reply{std::nullopt, *shown};
    }

    reply operator()(const ask_claimant& command) const
    {
        return this->model.inquire(command, this->fate);
    }

    reply operator()(const lookup_at_service& command) const
    {
        const bool ran =
            std::ranges::find(this->model.environment.ran, command.attempt) !=
            this->model.environment.ran.end();
        if (this->model.options->service_lookup && ran)
        {
            return lookup_answer{lookup_ran{response_of(command.attempt)}};
        }
        return lookup_answer{lookup_inconclusive{}};
    }

    reply operator()(const dispatch_request& command) const
    {
        switch (this->fate)
        {
        case message_fate::refused:
            return dispatch_result{service_refused{}};
        case message_fate::request_lost:
            this->model.environment.silent = true;
            return dispatch_result{service_no_answer{}};
        case message_fate::answer_lost:
            this->model.environment.silent = true;
            this->model.run_service(command.attempt);
            return dispatch_result{service_no_answer{}};
        case message_fate::late:
        {
            this->model.environment.silent = true;
            late_message message{late_message::message_kind::dispatch, {}, {}};
            message.entry.attempt = command.attempt;
            this->model.environment.late.push_back(message);
            return dispatch_result{service_no_answer{}};
        }
        default:
            this->model.run_service(command.attempt);
            return dispatch_result{
                service_completed{response_of(command.attempt)}};
        }
    }

    reply operator()(const record_outcome& command) const
    {
        return this->model.write(
            {late_message::message_kind::update,
             command.entry,
             command.expected},
            this->fate);
    }

    reply operator()(const release_claim& command) const
    {
        return this->model.write(
            {late_message::message_kind::remove, {}, command.expected},
            this->fate);
    }

    reply operator()(const wait_for&) const
    {
        return waited_reply{};
    }

    reply operator()(const give_answer& command) const
    {
        this->model.finish(this->index, command);
        return std::monostate{};
    }

private:
    void record_seen_claim(const attempt_id& holder) const
    {
        this->model.sends[this->index].seen_claims |= 1U << send_of(holder);
    }

    reply claim(const late_message& message) const
    {
        write_reply got = this->model.write(message, this->fate);
        if (got.error == errc::conflict)
        {
            this->record_seen_claim(
                this->model.environment.object->entry.attempt);
        }
        const bool lost = got.error == errc::unknown_effect;
        const bool injected =
            this->model.options->injected == injected_bug::unconfirmed_dispatch;
        if (lost && injected)
        {
            return write_reply{
                std::nullopt, this->model.environment.version.next()};
        }
        return got;
    }

    ledger_model& model;
    const std::size_t index;
    const message_fate fate;
};

void ledger_model::carry_out(std::size_t index, message_fate fate)
{
    send_state& one = this->sends[index];
    const session_command command =
        one.session->next(one.expired ? past_deadline : before_deadline);
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
        this->environment.dispatched |= 1U << index;
        one.at = send_state::phase::dispatching;
        return;
    }
    one.at = send_state::phase::has_reply;
    one.received = std::visit(command_simulator{*this, index, fate}, command);
}

void ledger_model::run_service(const attempt_id& attempt)
{
    this->environment.ran.push_back(attempt);
    if (this->environment.ran.size() > 1)
    {
        this->add_violation("ran twice");
    }
    const send_state& sender = this->sends[send_of(attempt)];
    if (sender.answer && std::holds_alternative<ledger_not_run>(*sender.answer))
    {
        this->add_violation("ran after it was said not to run");
    }
}

write_reply ledger_model::write(const late_message& message, message_fate fate)
{
    switch (fate)
    {
    case message_fate::refused:
        return {errc::unavailable, {}};
    case message_fate::request_lost:
        return {errc::unknown_effect, {}};
    case message_fate::answer_lost:
        this->apply(message);
        return {errc::unknown_effect, {}};
    case message_fate::late:
        this->environment.late.push_back(message);
        return {errc::unknown_effect, {}};
    case message_fate::duplicated:
        this->environment.late.push_back(message);
        return this->apply(message);
    case message_fate::delivered:
    case message_fate::stale_read:
        break;
    }
    return this->apply(message);
}

write_reply ledger_model::apply(const late_message& message)
{
    if (message.kind == late_message::message_kind::create)
    {
        if (this->environment.object)
        {
            return {errc::conflict, {}};
        }
    }
    else
    {
        if (!this->environment.object)
        {
            return {errc::not_found, {}};
        }
        if (this->environment.object->version != message.expected)
        {
            return {errc::conflict, {}};
        }
    }
    this->environment.version = this->environment.version.next();
    this->environment.previous = this->environment.object;
    if (message.kind == late_message::message_kind::remove)
    {
        this->environment.object.reset();
    }
    else
    {
        this->environment.object =
            versioned_entry{message.entry, this->environment.version};
    }
    return {std::nullopt, this->environment.version};
}

claimant_answer
ledger_model::inquire(const ask_claimant& command, message_fate fate)
{
    instance_state& claimant = this->instances[instance_of(command.claimant)];
    if (fate == message_fate::request_lost || !claimant.up)
    {
        return this->unanswered();
    }
    if (fate == message_fate::late)
    {
        late_message message{late_message::message_kind::inquiry, {}, {}};
        message.entry.attempt = command.attempt;
        message.instance = instance_of(command.claimant);
        this->environment.late.push_back(message);
        return this->unanswered();
    }
    attempt_table unchanged = claimant.attempts;
    claimant_answer got = claimant.attempts.answer_inquiry(command.attempt);
    if (this->options->injected == injected_bug::dispatch_after_disowning)
    {
        claimant.attempts = std::move(unchanged);
    }
    return fate == message_fate::answer_lost ? this->unanswered() : got;
}

claimant_answer ledger_model::unanswered() const
{
    if (this->options->injected == injected_bug::claim_expires)
    {
        return claimant_disowned{true};
    }
    return claimant_unreachable{};
}

void ledger_model::deliver(std::size_t index)
{
    const late_message message = this->environment.late[index];
    this->environment.late.erase(
        this->environment.late.begin() + static_cast<std::ptrdiff_t>(index));
    switch (message.kind)
    {
    case late_message::message_kind::inquiry:
        if (this->instances[message.instance].up)
        {
            this->instances[message.instance].attempts.answer_inquiry(
                message.entry.attempt);
        }
        return;
    case late_message::message_kind::dispatch:
        this->run_service(message.entry.attempt);
        return;
    default:
        this->apply(message);
    }
}

} // namespace fireflysail
