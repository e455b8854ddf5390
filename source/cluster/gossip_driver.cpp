#include "cluster/gossip_driver.hpp"

#include "peer/gossip_codec.hpp"

#include <memory>
#include <string_view>

namespace fireflysail
{

namespace
{

constexpr std::chrono::milliseconds call_timeout{400};

} // namespace

gossip_driver::gossip_driver(
    const peer& self,
    const std::vector<endpoint>& seeds,
    std::uint64_t seed,
    const parts& used)
    : used{used}
    , has_seeds{!seeds.empty()}
    , random{seed}
    , members{self, {}, random}
{
    this->members.add_hints(seeds);
}

void gossip_driver::add_handler(peer_dispatcher& dispatcher)
{
    dispatcher.add(
        peer_method::gossip,
        [this](std::string_view params)
        {
            return this->receive(params);
        });
}

result<std::string> gossip_driver::receive(std::string_view params)
{
    const auto request = decode_gossip_request(params);
    if (!request)
    {
        return request.error();
    }
    const absl::MutexLock lock{&this->mutex};
    const auto reply =
        this->members.receive(request.value(), this->used.time.now());
    this->publish();
    return encode(reply);
}

void gossip_driver::tick()
{
    std::vector<outgoing_gossip> messages;
    {
        const absl::MutexLock lock{&this->mutex};
        messages = this->members.tick(this->used.time.now());
        this->publish();
    }
    for (const auto& message : messages)
    {
        this->send(message);
    }
}

void gossip_driver::send(const outgoing_gossip& message)
{
    const bool taken = this->used.calls.run(
        [this, message]
        {
            const auto answer = this->used.client.call(
                message.to,
                std::string{peer_method::gossip},
                encode(message.request),
                call_timeout);
            const auto reply = answer ? decode_gossip_reply(answer.value())
                                      : result<gossip_reply>{answer.error()};
            const absl::MutexLock lock{&this->mutex};
            if (reply)
            {
                this->members.reply_received(
                    message.token, reply.value(), this->used.time.now());
            }
            else
            {
                this->members.failed(message.token);
            }
            this->publish();
        });
    if (!taken)
    {
        const absl::MutexLock lock{&this->mutex};
        this->members.failed(message.token);
    }
}

void gossip_driver::leave()
{
    const absl::MutexLock lock{&this->mutex};
    this->members.leave();
}

void gossip_driver::share(const shared_entry& entry)
{
    const absl::MutexLock lock{&this->mutex};
    this->members.share(entry, this->used.time.now());
}

std::vector<shared_entry> gossip_driver::take_new_entries()
{
    const absl::MutexLock lock{&this->mutex};
    return this->members.take_new_entries(this->used.time.now());
}

bool gossip_driver::is_settled() const
{
    const absl::MutexLock lock{&this->mutex};
    return !this->has_seeds || this->members.is_settled();
}

limits_view gossip_driver::view_for_limits() const
{
    limits_view view;
    const absl::MutexLock lock{&this->mutex};
    view.self = this->members.self().id;
    view.live.push_back(view.self);
    for (const auto& other : this->members.snapshot().peers)
    {
        // A suspect still owns its workspaces: to move them would cost a lease
        // period, and most suspicions are refuted.
        if (other.state == peer_state::alive ||
            other.state == peer_state::suspect)
        {
            view.live.push_back(other.id);
        }
        else if (other.state == peer_state::left)
        {
            view.departing.push_back(other.id);
        }
    }
    view.fleet_size = static_cast<std::uint32_t>(this->members.fleet_size());
    return view;
}

std::size_t gossip_driver::live_count() const
{
    return this->view_for_limits().live.size();
}

void gossip_driver::publish()
{
    if (this->published_changes == this->members.changes())
    {
        return;
    }
    this->published_changes = this->members.changes();
    this->used.board.publish(
        std::make_shared<peers_snapshot>(this->members.snapshot()));
}

} // namespace fireflysail
