#include "routing/congestion_tracker.hpp"

#include <algorithm>

namespace fireflysail
{

congestion_tracker::congestion_tracker(const options& limits)
    : limits{limits}
{
}

bool congestion_tracker::report(const server_id& first_stage, time_point now)
{
    absl::erase_if(
        this->records,
        [this, now](const auto& item)
        {
            return now >= item.second.until + this->limits.reset_after;
        });
    const auto [found, is_new] = this->records.try_emplace(first_stage);
    record& known = found->second;
    if (!is_new && now < known.until)
    {
        // Many streams wait for the same reason.
        return false;
    }
    known.pause = is_new ? this->limits.initial_pause
                         : std::min(known.pause * 2, this->limits.max_pause);
    known.until = now + known.pause;
    return true;
}

bool congestion_tracker::is_congested(
    const server_id& first_stage, time_point now) const
{
    const auto known = this->records.find(first_stage);
    return known != this->records.end() && now < known->second.until;
}

std::vector<server_id> congestion_tracker::congested(time_point now) const
{
    std::vector<server_id> servers;
    for (const auto& [server, known] : this->records)
    {
        if (now < known.until)
        {
            servers.push_back(server);
        }
    }
    return servers;
}

} // namespace fireflysail
