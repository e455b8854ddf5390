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

config_verdict config_order::judge(
    std::string_view text,
    std::uint64_t version,
    revision stored_at,
    config_reading how,
    time_point now)
{
    const read_config read{version, stored_at, digest_of(text)};
    this->note_era(stored_at, now);
    const bool is_higher = !this->newest || version > this->newest->version;
    const bool is_later =
        this->newest && era_of(stored_at) > era_of(this->newest->stored_at);
    const bool is_other = this->newest && read.digest != this->newest->digest;
    // One that is written again in order is followed by that in force.
    const bool stands_alone =
        is_later && is_other && this->is_written_since(read, how);
    const bool is_rewriting_over = now >= this->rewriting_ends_at();
    const bool is_accepted = is_higher ||
                             (is_later && this->replaces_lost_one(read)) ||
                             (stands_alone && is_rewriting_over);
    const bool was_read = this->has_read(read.digest);
    this->remember(read.digest);
    if (is_accepted)
    {
        this->newest = read;
        if (how == config_reading::listed)
        {
            this->unknown_up_to = std::max(this->unknown_up_to, version);
        }
    }
    else if (is_later && !is_other)
    {
        // The operator has written it again.
        this->newest->stored_at = stored_at;
    }
    this->superseded = !is_accepted && is_later && is_other;
    if (is_accepted)
    {
        return config_verdict::in_force;
    }
    if (stands_alone)
    {
        return config_verdict::postponed;
    }
    return this->superseded && !was_read ? config_verdict::contested
                                         : config_verdict::not_newer;
}

void config_order::skip(std::string_view text)
{
    this->remember(digest_of(text));
}

std::uint64_t config_order::version() const
{
    return this->newest ? this->newest->version : 0;
}

time_point config_order::rewriting_ends_at() const
{
    return this->first_in_era ? this->first_in_era->at + rewriting_time
                              : time_point{};
}

bool config_order::is_superseded() const
{
    return this->superseded;
}

void config_order::note_era(revision stored_at, time_point now)
{
    if (!this->first_in_era ||
        era_of(stored_at) > era_of(this->first_in_era->stored_at))
    {
        this->first_in_era = {stored_at, now};
    }
}

bool config_order::replaces_lost_one(const read_config& read) const
{
    return !this->has_read(read.digest) &&
           (read.version >= this->newest->version ||
            read.version > this->unknown_up_to);
}

bool config_order::is_written_since(
    const read_config& read, config_reading how) const
{
    // The copy holds nothing that is newer than what its era showed first, and
    // less than what was in force before.
    return how == config_reading::changed ||
           read.stored_at > this->first_in_era->stored_at ||
           change_number_of(read.stored_at) >
               change_number_of(this->newest->stored_at);
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
