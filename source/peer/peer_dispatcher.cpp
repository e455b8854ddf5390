#include "peer/peer_dispatcher.hpp"

#include "common/error.hpp"
#include "common/invariant.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace fireflysail
{

void peer_dispatcher::add(std::string_view method, const peer_handler& handler)
{
    const bool added =
        this->handlers.emplace(std::string{method}, handler).second;
    ensure(added, "a peer method has one handler");
}

std::vector<std::string> peer_dispatcher::methods() const
{
    std::vector<std::string> names;
    std::ranges::copy(
        this->handlers | std::views::keys, std::back_inserter(names));
    return names;
}

result<std::string> peer_dispatcher::dispatch(
    std::string_view method, std::string_view params) const
{
    const auto found = this->handlers.find(std::string{method});
    if (found == this->handlers.end())
    {
        return make_error_code(errc::not_found);
    }
    return found->second(params);
}

} // namespace fireflysail
