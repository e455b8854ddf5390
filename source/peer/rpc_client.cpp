#include "peer/rpc_client.hpp"

#include "common/error.hpp"
#include "peer/json_rpc/json_rpc_connection.hpp"
#include "peer/rpc_error.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

constexpr std::size_t max_idle_connections = 32;
constexpr std::size_t max_links = 4096;

result<std::string> to_result(const json_rpc_outcome& outcome)
{
    switch (outcome.status)
    {
    case json_rpc_status::answered:
        return outcome.text;
    case json_rpc_status::method_error:
        return from_rpc_error(outcome.error);
    case json_rpc_status::refused:
        return make_error_code(errc::forbidden);
    case json_rpc_status::not_sent:
        return make_error_code(errc::unavailable);
    case json_rpc_status::no_answer:
        return make_error_code(errc::unknown_effect);
    case json_rpc_status::invalid_params:
        return make_error_code(errc::invalid_argument);
    case json_rpc_status::malformed:
        break;
    }
    return make_error_code(errc::malformed);
}

bool connection_is_sound(json_rpc_status status)
{
    return status == json_rpc_status::answered ||
           status == json_rpc_status::method_error ||
           status == json_rpc_status::refused;
}

} // namespace

rpc_client::rpc_client(const instance_id& self, const peer_keys& keys)
    : sender{self.str() + "." + draw_nonce()}
    , authenticator{keys}
{
}

rpc_client::~rpc_client() = default;

result<std::string> rpc_client::call(
    const endpoint& to,
    const std::string& method,
    const std::string& params,
    std::chrono::milliseconds timeout)
{
    const auto started = std::chrono::steady_clock::now();
    ++this->calls;
    std::unique_ptr<json_rpc_connection> connection = this->take_connection(to);
    attempt chosen = this->next_attempt(to);
    json_rpc_outcome outcome =
        this->call_once(*connection, to, chosen, method, params, timeout);
    const auto spent = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - started);
    if (outcome.status == json_rpc_status::refused &&
        outcome.text != chosen.session && spent < timeout)
    {
        // First contact, or the peer restarted: it names its session.
        this->learn_session(to, outcome.text);
        chosen = this->next_attempt(to);
        outcome = this->call_once(
            *connection, to, chosen, method, params, timeout - spent);
    }
    if (connection_is_sound(outcome.status))
    {
        this->keep_connection(to, std::move(connection));
    }
    else
    {
        // Other idle connections to this peer may be as silent as this one.
        this->drop_connections(to);
    }
    return to_result(outcome);
}

rpc_client_counts rpc_client::counts() const
{
    return {this->calls, this->bytes_sent, this->bytes_received};
}

rpc_client::attempt rpc_client::next_attempt(const endpoint& to)
{
    const std::lock_guard lock{this->mutex};
    if (this->links.size() > max_links)
    {
        this->links.clear();
    }
    // A new link counts from the highest number of all links: a link that was
    // forgotten never repeats a number that its receiver has seen.
    peer_link& link = this->links[to];
    if (link.last_sequence == 0)
    {
        link.last_sequence = this->highest_sequence;
    }
    ++link.last_sequence;
    this->highest_sequence =
        std::max(this->highest_sequence, link.last_sequence);
    return {link.session, link.last_sequence};
}

void rpc_client::learn_session(const endpoint& to, const std::string& session)
{
    const std::lock_guard lock{this->mutex};
    this->links[to].session = session;
}

std::unique_ptr<json_rpc_connection>
rpc_client::take_connection(const endpoint& to)
{
    {
        const std::lock_guard lock{this->mutex};
        const auto found =
            std::ranges::find(this->idle, to, &idle_connection::to);
        if (found != this->idle.end())
        {
            std::unique_ptr<json_rpc_connection> connection =
                std::move(found->connection);
            this->idle.erase(found);
            return connection;
        }
    }
    return std::make_unique<json_rpc_connection>(to.host, to.port);
}

void rpc_client::keep_connection(
    const endpoint& to, std::unique_ptr<json_rpc_connection> connection)
{
    std::list<idle_connection> surplus;
    const std::lock_guard lock{this->mutex};
    this->idle.push_front({to, std::move(connection)});
    if (this->idle.size() > max_idle_connections)
    {
        surplus.splice(
            surplus.begin(), this->idle, std::prev(this->idle.end()));
    }
}

void rpc_client::drop_connections(const endpoint& to)
{
    const std::lock_guard lock{this->mutex};
    std::erase_if(
        this->idle,
        [&](const idle_connection& entry)
        {
            return entry.to == to;
        });
}

json_rpc_outcome rpc_client::call_once(
    json_rpc_connection& connection,
    const endpoint& to,
    const attempt& chosen,
    const std::string& method,
    const std::string& params,
    std::chrono::milliseconds timeout)
{
    std::string header;
    json_rpc_signing signing;
    signing.sign = [&](const std::string& body)
    {
        header = this->authenticator.sign_request(
            {this->sender, chosen.sequence}, to, chosen.session, body);
        return header;
    };
    signing.verify =
        [&](const std::string& reply_header, const std::string& body)
    {
        return this->authenticator.verify_reply(reply_header, header, body);
    };
    const json_rpc_outcome outcome =
        connection.call(method, params, timeout.count(), signing);
    this->bytes_sent += static_cast<std::uint64_t>(outcome.bytes_sent);
    this->bytes_received += static_cast<std::uint64_t>(outcome.bytes_received);
    return outcome;
}

} // namespace fireflysail
