#include "serving/completion_request.hpp"

#include "common/hash.hpp"

namespace fireflysail
{

namespace
{

constexpr std::size_t bytes_per_token = 4;

} // namespace

fingerprint fingerprint_of(const completion_request& request)
{
    return fingerprint{stable_hash(
        request.prompt,
        stable_hash(request.adapter.str(), stable_hash(request.model.str())))};
}

std::uint32_t expected_prompt_tokens(std::string_view prompt)
{
    return static_cast<std::uint32_t>(prompt.size() / bytes_per_token + 1);
}

} // namespace fireflysail
