#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "common/store_era.hpp"

#include <chrono>
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

/// What becomes of a configuration that was read.
enum class config_verdict
{
    in_force,
    not_newer,
    /// To be judged again once operators have had the time to write again what
    /// a restored store lost.
    postponed,
    /// A restored store holds it, it was not read before that, and it cannot be
    /// told whether it is newer than the one in force.
    contested,
};

/// Operators and backend servers have written again by then what a restored
/// store lost. Instances are in touch with the store 3 s after its return.
inline constexpr duration rewriting_time = std::chrono::seconds{4};

/// Decides which of the configurations that are read from the store are put
/// into force: those with a higher version than before. After the store came
/// back from an older copy, operators may give the versions that it lost to
/// other configurations. These replace the lost ones: a text that was never
/// read, with a version of which all texts have been read. Any other lower
/// version may be one of the copy, or one that is written again in order; it is
/// put into force only if it was written since the store came back and stands
/// after the rewriting time. Used by one thread at a time.
class config_order
{
public:
    /// Called for each configuration that is read, in order.
    config_verdict judge(
        std::string_view text,
        std::uint64_t version,
        revision stored_at,
        config_reading how,
        time_point now);

    /// The text was read, and replaced before it could be put into force.
    void skip(std::string_view text);

    /// Of the newest configuration in force; 0 before the first.
    std::uint64_t version() const;

    /// When operators have written again what the store lost, if it was
    /// restored.
    time_point rewriting_ends_at() const;

    /// Whether the store, in a later era, was last seen to hold another
    /// configuration than the one in force: it is one of the copy, or the
    /// operator goes on from the copy.
    bool is_superseded() const;

private:
    struct read_config
    {
        std::uint64_t version = 0;
        revision stored_at;
        std::uint64_t digest = 0;
    };

    /// The first configuration that was read in the latest era.
    struct first_reading
    {
        revision stored_at;
        time_point at;
    };

    void note_era(revision stored_at, time_point now);
    bool replaces_lost_one(const read_config& read) const;
    /// Whether it was written after the store came back.
    bool is_written_since(const read_config& read, config_reading how) const;
    bool has_read(std::uint64_t digest) const;
    void remember(std::uint64_t digest);

    /// In force.
    std::optional<read_config> newest;
    std::optional<first_reading> first_in_era;
    /// Versions up to this one may have had texts that were not read, or whose
    /// digests are no longer kept.
    std::uint64_t unknown_up_to = 0;
    /// Of the last texts read.
    std::deque<std::uint64_t> digests;
    bool superseded = false;
};

} // namespace fireflysail
