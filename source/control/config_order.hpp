#pragma once

#include "common/identifiers.hpp"
#include "common/store_era.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

namespace fireflysail
{

/// How a configuration was read from the store.
enum class config_reading
{
    /// As the one of a list: those written before it may have been missed.
    listed,
    /// As a change that follows the one read before.
    changed,
};

/// Decides which of the configurations that are read from the store are put
/// into force: those with a higher version than before. After the store came
/// back from an older copy, operators may give the versions that it lost to
/// other configurations. These replace the lost ones: a text that was never
/// read, with a version of which all texts have been read. Any other lower
/// version may be one of the copy, or one that is written again in order, and
/// is never put into force. Used by one thread.
class config_order
{
public:
    /// Returns whether to put the configuration into force. Called for each
    /// one that is read, in order.
    bool accepts(
        std::string_view text,
        std::uint64_t version,
        revision stored_at,
        config_reading how);

    /// The text was read, and replaced before it could be put into force.
    void skip(std::string_view text);

    /// Of the newest configuration in force; 0 before the first.
    std::uint64_t version() const;

    /// Whether the store, in a later era, was last seen to hold another
    /// configuration than the one in force: it is one of the copy, or the
    /// operator goes on from the copy.
    bool is_superseded() const;

private:
    struct accepted_config
    {
        std::uint64_t version = 0;
        store_era era;
        std::uint64_t digest = 0;
    };

    bool has_read(std::uint64_t digest) const;
    void remember(std::uint64_t digest);

    std::optional<accepted_config> newest;
    /// Versions up to this one may have had texts that were not read, or whose
    /// digests are no longer kept.
    std::uint64_t unknown_up_to = 0;
    /// Of the last texts read.
    std::deque<std::uint64_t> digests;
    bool superseded = false;
};

} // namespace fireflysail
