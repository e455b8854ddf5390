#include "control/config_order.hpp"

#include "common/hash.hpp"
#include "common/json_text.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

constexpr std::size_t max_digests = 64;

/// The same for a document that was only formatted anew.
std::uint64_t digest_of(std::string_view text)
{
    const auto document = parse_json(text);
    return stable_hash(
        document.is_discarded()
            ? std::string{text}
            : document.dump(
                  -1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace

bool config_order::accepts(
    std::string_view text,
    std::uint64_t version,
    revision stored_at,
    config_reading how)
{
    const std::uint64_t digest = digest_of(text);
    const accepted_config read{version, era_of(stored_at), digest};
    const auto replaces_lost_one = [&]
    {
        return read.era > this->newest->era && !this->has_read(digest) &&
               (version >= this->newest->version ||
                version > this->unknown_up_to);
    };
    const bool is_accepted =
        !this->newest || version > this->newest->version || replaces_lost_one();
    this->remember(digest);
    if (is_accepted)
    {
        this->newest = read;
        if (how == config_reading::listed)
        {
            this->unknown_up_to = std::max(this->unknown_up_to, version);
        }
    }
    this->superseded =
        digest != this->newest->digest && read.era > this->newest->era;
    return is_accepted;
}

void config_order::skip(std::string_view text)
{
    this->remember(digest_of(text));
}

std::uint64_t config_order::version() const
{
    return this->newest ? this->newest->version : 0;
}

bool config_order::is_superseded() const
{
    return this->superseded;
}

bool config_order::has_read(std::uint64_t digest) const
{
    return std::ranges::find(this->digests, digest) != this->digests.end();
}

void config_order::remember(std::uint64_t digest)
{
    if (this->has_read(digest))
    {
        return;
    }
    this->digests.push_back(digest);
    if (this->digests.size() > max_digests)
    {
        this->digests.pop_front();
        this->unknown_up_to = std::max(this->unknown_up_to, this->version());
    }
}

} // namespace fireflysail
