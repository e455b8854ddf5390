#include "control/leaving_servers.hpp"

#include <algorithm>

namespace fireflysail
{

bool leaving_servers::add(const server_id& server, std::uint64_t boot)
{
    if (this->contains(server, boot))
    {
        return false;
    }
    if (this->records.size() == max_servers)
    {
        this->records.pop_front();
    }
    this->records.push_back({server, boot});
    return true;
}

bool leaving_servers::contains(
    const server_id& server, std::uint64_t boot) const
{
    return std::ranges::any_of(
        this->records,
        [&](const record& known)
        {
            return known.server == server && known.boot == boot;
        });
}

bool leaving_servers::on_boot(const server_id& server, std::uint64_t boot)
{
    return std::erase_if(
               this->records,
               [&](const record& known)
               {
                   return known.server == server && known.boot != boot;
               }) > 0;
}

std::size_t leaving_servers::size() const
{
    return this->records.size();
}

} // namespace fireflysail
