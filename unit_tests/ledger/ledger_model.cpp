#include "ledger_model.hpp"

#include "model_names.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

const claim_key the_key{workspace_id{"w"}, idempotency_key{"k"}};
const fingerprint the_content{7};

template <class T>
result<T> as_result(const std::optional<errc>& error, const T& value)
{
    if (error)
    {
        return *error;
    }
    return value;
}

std::vector<message_fate> fates_of(const session_command& command)
{
    if (std::holds_alternative<read_claim>(command))
    {
        return {message_fate::refused, message_fate::stale_read};
    }
    if (std::holds_alternative<ask_claimant>(command))
    {
        return {
            message_fate::request_lost,
            message_fate::answer_lost,
            message_fate::late};
    }
    if (std::holds_alternative<dispatch_request>(command))
    {
        return {
            message_fate::refused,
            message_fate::request_lost,
            message_fate::answer_lost,
            message_fate::late};
    }
    if (std::holds_alternative<create_claim>(command) ||
        std::holds_alternative<take_over_claim>(command) ||
        std::holds_alternative<record_outcome>(command) ||
        std::holds_alternative<release_claim>(command))
    {
        return {
            message_fate::refused,
            message_fate::request_lost,
            message_fate::answer_lost,
            message_fate::late,
            message_fate::duplicated};
    }
    return {};
}

} // namespace

ledger_model::ledger_model(const model_options& options)
    : options{&options}
{
    this->environment.faults_left = options.faults;
    this->environment.crashes_left = options.crashes;
    this->sends[0].instance = options.through[0];
    this->sends[1].instance = options.through[1];
}

std::vector<ledger_model::action> ledger_model::possible_actions() const
{
    using kind = action::action_kind;
    std::vector<action> all;
    for (std::size_t i = 0; i < last_send; ++i)
    {
        const send_state& one = this->sends[i];
        switch (one.at)
        {
        case send_state::phase::not_started:
            if (this->instances[one.instance].up)
            {
                all.push_back({kind::start, i});
            }
            break;
        case send_state::phase::ready:
        case send_state::phase::dispatching:
            all.push_back({kind::carry_out, i});
            if (this->environment.faults_left > 0)
            {
                for (const message_fate other : this->fates(i))
                {
                    all.push_back({kind::carry_out, i, other});
                }
            }
            break;
        case send_state::phase::has_reply:
            all.push_back({kind::process, i});
            break;
        default:
            break;
        }
        const bool running = one.at == send_state::phase::ready ||
                             one.at == send_state::phase::has_reply;
        if (running && !one.expired && this->environment.faults_left > 0)
        {
            all.push_back({kind::expire, i});
        }
    }
    for (std::size_t i = 0; i < this->instances.size(); ++i)
    {
        const instance_state& one = this->instances[i];
        if (one.up && this->environment.crashes_left > 0)
        {
            all.push_back({kind::crash, i});
        }
        if (one.up && !one.to_record.empty())
        {
            all.push_back({kind::record, i});
            if (this->environment.faults_left > 0)
            {
                all.push_back({kind::record, i, message_fate::answer_lost});
                all.push_back({kind::record, i, message_fate::late});
            }
        }
        if (one.up && !one.orphaned_claims.empty())
        {
            all.push_back({kind::clean_up, i});
        }
    }
    for (std::size_t i = 0; i < this->environment.late.size(); ++i)
    {
        all.push_back({kind::deliver, i});
    }
    return all;
}

std::vector<message_fate> ledger_model::fates(std::size_t index) const
{
    const session_command command = this->next_command(index);
    const bool marks_only = std::holds_alternative<dispatch_request>(command) &&
                            this->sends[index].at == send_state::phase::ready;
    return marks_only ? std::vector<message_fate>{} : fates_of(command);
}

void ledger_model::take(const action& step)
{
    const bool fault = step.fate != message_fate::delivered ||
                       step.kind == action::action_kind::expire;
    this->environment.faults_left -= fault ? 1 : 0;
    switch (step.kind)
    {
    case action::action_kind::start:
        this->start(step.index);
        break;
    case action::action_kind::carry_out:
        this->carry_out(step.index, step.fate);
        break;
    case action::action_kind::process:
        this->process(step.index);
        break;
    case action::action_kind::expire:
        this->sends[step.index].expired = true;
        break;
    case action::action_kind::crash:
        this->crash(step.index);
        break;
    case action::action_kind::deliver:
        this->deliver(step.index);
        break;
    case action::action_kind::record:
        this->record(step.index, step.fate);
        break;
    case action::action_kind::clean_up:
        this->clean_up(step.index);
        break;
    }
}

void ledger_model::start(std::size_t index)
{
    send_state& one = this->sends[index];
    instance_state& host = this->instances[one.instance];
    const auto entered =
        host.attempts.enter(the_key, the_content, attempt_of(index));
    if (const auto* busy = std::get_if<send_in_flight>(&entered))
    {
        const auto* ended = std::get_if<claimant_finished>(&busy->progress);
        if (ended != nullptr && ended->state == entry_state::completed)
        {
            one.answer = replayed_response{ended->response};
            one.at = send_state::phase::answered;
        }
        else if (ended != nullptr)
        {
            one.answer = ledger_unknown{unknown_reason::no_answer};
            one.at = send_state::phase::answered;
        }
        // Otherwise the send waits for the other one and starts later.
        return;
    }
    claim_limits limits;
    limits.longest_wait = limits.first_wait;
    one.session.emplace(
        claim_request{the_key, the_content, past_deadline},
        attempt_of(index),
        name_of(one.instance),
        limits);
    one.at = send_state::phase::ready;
    one.dispatched_before = this->environment.dispatched;
}

session_command ledger_model::next_command(std::size_t index) const
{
    const send_state& one = this->sends[index];
    claim_session copy = *one.session;
    return copy.next(one.expired ? past_deadline : before_deadline);
}

void ledger_model::process(std::size_t index)
{
    send_state& one = this->sends[index];
    claim_session& session = *one.session;
    const reply received = std::exchange(one.received, std::monostate{});
    one.at = send_state::phase::ready;
    if (const auto* got = std::get_if<write_reply>(&received))
    {
        session.on_written(as_result(got->error, got->version));
    }
    else if (const auto* read = std::get_if<read_reply>(&received))
    {
        session.on_read(as_result(read->error, read->found));
    }
    else if (const auto* said = std::get_if<claimant_answer>(&received))
    {
        session.on_claimant(*said);
    }
    else if (const auto* looked = std::get_if<lookup_answer>(&received))
    {
        session.on_lookup(*looked);
    }
    else if (const auto* came = std::get_if<dispatch_result>(&received))
    {
        session.on_dispatched(*came);
    }
    else if (std::holds_alternative<forbidden_reply>(received))
    {
        session.on_dispatch_denied();
    }
    else
    {
        session.on_waited();
    }
}

void ledger_model::crash(std::size_t instance)
{
    this->environment.crashes_left -= 1;
    this->environment.crashed = true;
    this->instances[instance] = instance_state{};
    this->instances[instance].up = false;
    for (send_state& one : this->sends)
    {
        const bool in_flight = one.session.has_value();
        if (one.instance == instance && in_flight)
        {
            one.session.reset();
            one.received = std::monostate{};
            one.at = send_state::phase::crashed;
        }
    }
}

void ledger_model::record(std::size_t instance, message_fate fate)
{
    instance_state& host = this->instances[instance];
    const record_outcome outcome = host.to_record.front();
    const write_reply got = this->write(
        {late_message::message_kind::update, outcome.entry, outcome.expected},
        fate);
    if (got.error && got.error != errc::conflict &&
        got.error != errc::not_found)
    {
        return;
    }
    host.to_record.erase(host.to_record.begin());
    host.attempts.forget(outcome.entry.attempt);
}

void ledger_model::clean_up(std::size_t instance)
{
    instance_state& host = this->instances[instance];
    const attempt_id attempt = host.orphaned_claims.front();
    host.orphaned_claims.erase(host.orphaned_claims.begin());
    if (this->environment.object &&
        this->environment.object->entry.attempt == attempt &&
        this->environment.object->entry.state == entry_state::claimed)
    {
        this->environment.previous = this->environment.object;
        this->environment.object.reset();
        this->environment.version = this->environment.version.next();
    }
}

} // namespace fireflysail
