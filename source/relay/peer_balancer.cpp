#include "relay/peer_balancer.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace fireflysail
{

peer_balancer::peer_balancer(const options& chosen)
    : chosen{chosen}
    , known{std::make_shared<const std::vector<peer_instance>>()}
{
}

void peer_balancer::set_peers(
    std::shared_ptr<const std::vector<peer_instance>> known)
{
    this->known = std::move(known);
}

void peer_balancer::on_notice(
    const instance_id& peer, bool is_cut_off, time_point now)
{
    this->records[peer].cut_off_until =
        is_cut_off ? now + this->chosen.notice_validity : time_point::min();
}

void peer_balancer::on_unreachable(const instance_id& peer, time_point now)
{
    this->records[peer].avoided_until = now + this->chosen.failure_pause;
}

const peer_balancer::record* peer_balancer::find(const instance_id& peer) const
{
    const auto found = this->records.find(peer);
    return found == this->records.end() ? nullptr : &found->second;
}

bool peer_balancer::is_cut_off(const instance_id& peer, time_point now) const
{
    const record* const told = this->find(peer);
    return told != nullptr && now < told->cut_off_until;
}

bool peer_balancer::may_be_asked(const instance_id& peer, time_point now) const
{
    const record* const told = this->find(peer);
    return told == nullptr ||
           (now >= told->cut_off_until && now >= told->avoided_until);
}

std::size_t peer_balancer::requests_at(const instance_id& peer) const
{
    const record* const told = this->find(peer);
    return told == nullptr ? 0 : told->in_flight;
}

bool peer_balancer::has_choice(time_point now) const
{
    return std::ranges::any_of(
        *this->known,
        [this, now](const peer_instance& peer)
        {
            return this->may_be_asked(peer.id, now);
        });
}

std::optional<peer_instance> peer_balancer::choose(
    std::span<const instance_id> without,
    time_point now,
    std::mt19937_64& random) const
{
    std::vector<peer_instance> usable;
    std::ranges::copy_if(
        *this->known,
        std::back_inserter(usable),
        [&](const peer_instance& peer)
        {
            return this->may_be_asked(peer.id, now) &&
                   std::ranges::find(without, peer.id) == without.end();
        });
    std::vector<peer_instance> drawn;
    std::ranges::sample(usable, std::back_inserter(drawn), 2, random);
    // The sample keeps the order, which would decide between equals.
    std::ranges::shuffle(drawn, random);
    const auto best = std::ranges::min_element(
        drawn,
        {},
        [this](const peer_instance& peer)
        {
            return this->requests_at(peer.id);
        });
    return best == drawn.end() ? std::nullopt : std::optional{*best};
}

peer_balancer::in_flight::in_flight(
    peer_balancer& balancer, const instance_id& peer)
    : balancer{balancer}
    , peer{peer}
{
    ++this->balancer.records[this->peer].in_flight;
}

peer_balancer::in_flight::~in_flight()
{
    --this->balancer.records[this->peer].in_flight;
}

} // namespace fireflysail
