#include "ledger_world.hpp"

#include "world_names.hpp"

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

std::vector<fate> fates_of(const session_command& command)
{
    if (std::holds_alternative<read_claim>(command))
    {
        return {fate::refused, fate::lagging};
    }
    if (std::holds_alternative<ask_claimant>(command))
    {
        return {fate::request_lost, fate::answer_lost, fate::late};
    }
    if (std::holds_alternative<dispatch_request>(command))
    {
        return {
            fate::refused, fate::request_lost, fate::answer_lost, fate::late};
    }
    if (std::holds_alternative<create_claim>(command) ||
        std::holds_alternative<take_over_claim>(command) ||
        std::holds_alternative<record_outcome>(command) ||
        std::holds_alternative<release_claim>(command))
    {
        return {
            fate::refused,
            fate::request_lost,
            fate::answer_lost,
            fate::late,
            fate::doubled};
    }
    return {};
}

} // namespace

ledger_world::ledger_world(const world_options& options)
    : options{&options}
{
    this->rest.faults_left = options.faults;
    this->rest.crashes_left = options.crashes;
    this->sends[0].instance = options.through[0];
    this->sends[1].instance = options.through[1];
}

std::vector<ledger_world::action> ledger_world::possible() const
{
    using sort = action::sort;
    std::vector<action> all;
    for (std::size_t i = 0; i < last_send; ++i)
    {
        const send_state& one = this->sends[i];
        switch (one.at)
        {
        case send_state::phase::not_started:
            if (this->instances[one.instance].up)
            {
                all.push_back({sort::start, i});
            }
            break;
        case send_state::phase::ready:
        case send_state::phase::dispatching:
            all.push_back({sort::carry_out, i});
            if (this->rest.faults_left > 0)
            {
                for (const fate other : this->fates(i))
                {
                    all.push_back({sort::carry_out, i, other});
                }
            }
            break;
        case send_state::phase::has_reply:
            all.push_back({sort::process, i});
            break;
        default:
            break;
        }
        const bool running = one.at == send_state::phase::ready ||
                             one.at == send_state::phase::has_reply;
        if (running && !one.expired && this->rest.faults_left > 0)
        {
            all.push_back({sort::expire, i});
        }
    }
    for (std::size_t i = 0; i < this->instances.size(); ++i)
    {
        const instance_state& one = this->instances[i];
        if (one.up && this->rest.crashes_left > 0)
        {
            all.push_back({sort::crash, i});
        }
        if (one.up && !one.to_record.empty())
        {
            all.push_back({sort::record, i});
            if (this->rest.faults_left > 0)
            {
                all.push_back({sort::record, i, fate::answer_lost});
                all.push_back({sort::record, i, fate::late});
            }
        }
        if (one.up && !one.orphaned_claims.empty())
        {
            all.push_back({sort::clean_up, i});
        }
    }
    for (std::size_t i = 0; i < this->rest.late.size(); ++i)
    {
        all.push_back({sort::deliver, i});
    }
    return all;
}

std::vector<fate> ledger_world::fates(std::size_t which) const
{
    const session_command command = this->next_command(which);
    const bool marks_only = std::holds_alternative<dispatch_request>(command) &&
                            this->sends[which].at == send_state::phase::ready;
    return marks_only ? std::vector<fate>{} : fates_of(command);
}

void ledger_world::take(const action& what)
{
    const bool fault =
        what.comes_to != fate::delivered || what.what == action::sort::expire;
    this->rest.faults_left -= fault ? 1 : 0;
    switch (what.what)
    {
    case action::sort::start:
        this->start(what.which);
        break;
    case action::sort::carry_out:
        this->carry_out(what.which, what.comes_to);
        break;
    case action::sort::process:
        this->process(what.which);
        break;
    case action::sort::expire:
        this->sends[what.which].expired = true;
        break;
    case action::sort::crash:
        this->crash(what.which);
        break;
    case action::sort::deliver:
        this->deliver(what.which);
        break;
    case action::sort::record:
        this->record(what.which, what.comes_to);
        break;
    case action::sort::clean_up:
        this->clean_up(what.which);
        break;
    }
}

void ledger_world::start(std::size_t which)
{
    send_state& one = this->sends[which];
    instance_state& host = this->instances[one.instance];
    const auto entered =
        host.attempts.enter(the_key, the_content, attempt_of(which));
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
        // Otherwise the send waits for the other: it begins later.
        return;
    }
    claim_limits limits;
    limits.longest_wait = limits.first_wait;
    one.session.emplace(
        claim_request{the_key, the_content, past_deadline},
        attempt_of(which),
        name_of(one.instance),
        limits);
    one.at = send_state::phase::ready;
    one.earlier = this->rest.dispatched;
}

session_command ledger_world::next_command(std::size_t which) const
{
    const send_state& one = this->sends[which];
    claim_session copy = *one.session;
    return copy.next(one.expired ? past_deadline : in_time);
}

void ledger_world::process(std::size_t which)
{
    send_state& one = this->sends[which];
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

void ledger_world::crash(std::size_t instance)
{
    this->rest.crashes_left -= 1;
    this->rest.crashed = true;
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

void ledger_world::record(std::size_t instance, fate comes_to)
{
    instance_state& host = this->instances[instance];
    const record_outcome what = host.to_record.front();
    const write_reply got = this->write(
        {late_message::sort::update, what.entry, what.expected}, comes_to);
    if (got.error && got.error != errc::conflict &&
        got.error != errc::not_found)
    {
        return;
    }
    host.to_record.erase(host.to_record.begin());
    host.attempts.forget(what.entry.attempt);
}

void ledger_world::clean_up(std::size_t instance)
{
    instance_state& host = this->instances[instance];
    const attempt_id attempt = host.orphaned_claims.front();
    host.orphaned_claims.erase(host.orphaned_claims.begin());
    if (this->rest.object && this->rest.object->entry.attempt == attempt &&
        this->rest.object->entry.state == entry_state::claimed)
    {
        this->rest.previous = this->rest.object;
        this->rest.object.reset();
        this->rest.version = this->rest.version.next();
    }
}

} // namespace fireflysail
