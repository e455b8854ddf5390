#include "routing/route_table.hpp"

namespace fireflysail
{

double route_set::total_share() const
{
    return this->cumulative_share.empty() ? 0 : this->cumulative_share.back();
}

const route_set* route_table::find(const route_key& key) const
{
    const auto found = this->sets.find(key);
    return found == this->sets.end() ? nullptr : found->second.get();
}

std::optional<engine_slot> route_table::slot_of(const server_id& server) const
{
    const auto found = this->slots.find(server);
    return found == this->slots.end() ? std::nullopt
                                      : std::optional{found->second};
}

} // namespace fireflysail
