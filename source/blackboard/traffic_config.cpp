#include "blackboard/traffic_config.hpp"

#include <algorithm>

namespace fireflysail
{

const route* find_route(
    const traffic_config& config, std::string_view host, std::string_view path)
{
    const auto of_host = config.routes.find(std::string{host});
    if (of_host == config.routes.end())
    {
        return nullptr;
    }
    const auto found = std::ranges::find_if(
        of_host->second,
        [path](const route& candidate)
        {
            return path.starts_with(candidate.prefix);
        });
    return found == of_host->second.end() ? nullptr : &*found;
}

} // namespace fireflysail
