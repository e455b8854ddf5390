#include "relay/request_target.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <array>

namespace fireflysail
{

namespace
{

constexpr std::array<absl::string_view, 2> schemes{"http://", "https://"};

} // namespace

void use_origin_form(http_request& request)
{
    const std::string target{request.target().data(), request.target().size()};
    const auto* const scheme = std::ranges::find_if(
        schemes,
        [&target](absl::string_view candidate)
        {
            return absl::StartsWithIgnoreCase(target, candidate);
        });
    if (scheme == schemes.end())
    {
        return;
    }
    const auto begin = scheme->size();
    const auto end = std::min(target.find_first_of("/?", begin), target.size());
    std::string authority = target.substr(begin, end - begin);
    // Credentials of a user say nothing about the host.
    authority.erase(0, authority.rfind('@') + 1);
    const bool has_path = end < target.size() && target[end] == '/';
    request.target((has_path ? "" : "/") + target.substr(end));
    request.set(http::field::host, authority);
}

std::string host_of(const http_request& request)
{
    const auto host = request[http::field::host];
    const auto end = std::min(host.rfind(':'), host.size());
    return absl::AsciiStrToLower(absl::string_view{host.data(), end});
}

std::string_view path_of(const http_request& request)
{
    const auto target = request.target();
    return {target.data(), std::min(target.find('?'), target.size())};
}

} // namespace fireflysail
