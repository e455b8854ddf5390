#include "api/authentication.hpp"

#include "api/digest.hpp"

#include <utility>

namespace fireflysail
{

std::string_view bearer_credential(std::string_view header)
{
    constexpr std::string_view scheme = "Bearer ";
    if (!header.starts_with(scheme))
    {
        return {};
    }
    header.remove_prefix(scheme.size());
    return header;
}

std::optional<authenticated_caller> authenticate(
    std::shared_ptr<const lists_snapshot> lists, std::string_view credential)
{
    if (credential.empty())
    {
        return std::nullopt;
    }
    const auto digest = sha256_hex(credential);
    const auto found = lists->workspace_by_key_digest.find(digest);
    if (found == lists->workspace_by_key_digest.end() ||
        !equal_in_constant_time(found->first, digest))
    {
        return std::nullopt;
    }
    authenticated_caller caller;
    caller.workspace = found->second;
    caller.entitlement = find_entitlement(*lists, caller.workspace);
    if (caller.entitlement == nullptr)
    {
        return std::nullopt;
    }
    caller.lists = std::move(lists);
    return caller;
}

} // namespace fireflysail
