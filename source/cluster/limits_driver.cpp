#include "cluster/limits_driver.hpp"

#include "peer/limits_codec.hpp"

#include <algorithm>
#include <string_view>

namespace fireflysail
{

namespace
{

constexpr std::chrono::milliseconds call_timeout{300};

} // namespace

limits_driver::limits_driver(const instance_id& self, const parts& used)
    : self{self}
    , used{used}
    , holder{self}
    , owner{self}
{
}

limit_client& limits_driver::client()
{
    return this->holder;
}

bool limits_driver::is_ready() const
{
    return this->owner.has_authority(this->used.time.now());
}

void limits_driver::add_handler(peer_dispatcher& dispatcher)
{
    dispatcher.add(
        peer_method::limits,
        [this](std::string_view params)
        {
            return this->receive(params);
        });
}

result<std::string> limits_driver::receive(std::string_view params)
{
    const auto request = decode_limits_request(params);
    if (!request)
    {
        return request.error();
    }
    const auto now = this->used.time.now();
    return std::visit(
        [this, now](const auto& message)
        {
            return encode(this->owner.answer(message, now));
        },
        request.value());
}

void limits_driver::tick()
{
    // An instance that does not know its peers yet would think that it owns
    // every workspace.
    if (!this->used.gossip.is_settled())
    {
        return;
    }
    const auto now = this->used.time.now();
    const auto view = this->used.gossip.view_for_limits();
    this->owner.update_lists(this->used.lists.load(), now);
    this->owner.update_view(view, now);
    this->holder.update_view(view);
    for (const auto& message : this->holder.tick(now))
    {
        this->send(message);
    }
    for (const auto& message : this->owner.tick(now))
    {
        this->send(message);
    }
}

std::optional<endpoint> limits_driver::address_of(const instance_id& id) const
{
    const auto known = this->used.peers.load();
    const auto found = std::ranges::find(known->peers, id, &peer::id);
    if (found == known->peers.end())
    {
        return std::nullopt;
    }
    return found->address;
}

void limits_driver::send(const outgoing_demand& message)
{
    if (message.to == this->self)
    {
        const auto now = this->used.time.now();
        this->holder.receive(this->owner.answer(message.message, now), now);
        return;
    }
    const auto to = this->address_of(message.to);
    if (!to)
    {
        return;
    }
    this->used.calls.run(
        [this, to = *to, body = encode(message.message)]
        {
            const auto answer = this->used.client.call(
                to, std::string{peer_method::limits}, body, call_timeout);
            if (!answer)
            {
                return;
            }
            if (const auto reply = decode_lease_message(answer.value()))
            {
                this->holder.receive(reply.value(), this->used.time.now());
            }
        });
}

void limits_driver::send(const outgoing_claim& message)
{
    const auto to = this->address_of(message.to);
    if (!to)
    {
        return;
    }
    this->used.calls.run(
        [this, to = *to, from = message.to, body = encode(message.message)]
        {
            const auto answer = this->used.client.call(
                to, std::string{peer_method::limits}, body, call_timeout);
            if (!answer)
            {
                return;
            }
            if (const auto reply = decode_claim_reply(answer.value()))
            {
                this->owner.receive(from, reply.value(), this->used.time.now());
            }
        });
}

} // namespace fireflysail
