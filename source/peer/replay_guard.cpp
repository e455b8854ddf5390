#include "peer/replay_guard.hpp"

#include <utility>

namespace fireflysail
{

replay_guard::replay_guard(
    std::function<std::string()> draw_session, std::size_t max_senders)
    : draw_session{std::move(draw_session)}
    , max_senders{max_senders}
    , current{this->draw_session()}
{
}

std::string replay_guard::session() const
{
    const std::lock_guard lock{this->mutex};
    return this->current;
}

bool replay_guard::accept(
    const std::string& for_session,
    const std::string& sender,
    std::uint64_t sequence)
{
    const std::lock_guard lock{this->mutex};
    if (for_session != this->current)
    {
        return false;
    }
    if (!this->senders.contains(sender) &&
        this->senders.size() >= this->max_senders)
    {
        // Forgetting one sender would let its old messages in again; a new
        // session shuts out all old messages of all senders.
        this->senders.clear();
        this->current = this->draw_session();
        return false;
    }
    window& known = this->senders[sender];
    if (sequence > known.highest)
    {
        const std::uint64_t step = sequence - known.highest;
        known.seen = step < window_size ? known.seen << step
                                        : std::bitset<window_size>{};
        known.highest = sequence;
    }
    const std::uint64_t age = known.highest - sequence;
    if (age >= window_size || known.seen.test(age))
    {
        return false;
    }
    known.seen.set(age);
    return true;
}

} // namespace fireflysail
