#include "membership/neighbours.hpp"

#include "common/hash.hpp"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string_view>
#include <utility>

namespace fireflysail
{

namespace
{

using ring = std::vector<std::pair<std::uint64_t, instance_id>>;

void add_both_sides(
    const ring& members, const instance_id& self, std::vector<instance_id>& to)
{
    const auto place = std::ranges::find(
        members, self, &std::pair<std::uint64_t, instance_id>::second);
    const auto index =
        static_cast<std::size_t>(std::distance(members.begin(), place));
    const std::size_t count = members.size();
    for (const std::size_t next : {index + 1, index + count - 1})
    {
        const instance_id& id = members[next % count].second;
        if (id != self && std::ranges::find(to, id) == to.end())
        {
            to.push_back(id);
        }
    }
}

ring make_ring(const std::vector<const peer*>& members, std::string_view name)
{
    ring sorted;
    std::ranges::transform(
        members,
        std::back_inserter(sorted),
        [&](const peer* one)
        {
            return std::pair{rendezvous_weight(name, one->id.str()), one->id};
        });
    std::ranges::sort(sorted);
    return sorted;
}

} // namespace

std::vector<instance_id>
neighbours_of(const peer& self, const std::vector<peer>& others)
{
    std::vector<const peer*> fleet{&self};
    std::vector<const peer*> zone{&self};
    for (const peer& one : others)
    {
        fleet.push_back(&one);
        if (one.zone == self.zone)
        {
            zone.push_back(&one);
        }
    }
    std::vector<instance_id> chosen;
    add_both_sides(make_ring(zone, "zone"), self.id, chosen);
    add_both_sides(make_ring(fleet, "fleet"), self.id, chosen);
    return chosen;
}

} // namespace fireflysail
