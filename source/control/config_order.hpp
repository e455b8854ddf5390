#pragma once

#include "common/identifiers.hpp"
#include "common/store_era.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>

namespace fireflysail
{

/// Decides which of the configurations that are read from the store are put
/// into force: those with a higher version than before. A store that came back
/// from an older copy lost versions, which the operators give out again: what
/// came back with it is not put into force again, and whatever is written over
/// that is. Used by one thread.
class config_order
{
public:
    static constexpr std::size_t max_remembered = 64;

    /// Returns whether to put the configuration into force. Called for each
    /// one that is read, in order.
    bool
    accepts(std::string_view text, std::uint64_t version, revision stored_at);

    /// Read, but followed by another one at once.
    void skip(std::string_view text);

private:
    std::deque<std::uint64_t> read;
    /// The highest version of this era.
    std::optional<std::uint64_t> newest;
    store_era era{};
};

} // namespace fireflysail
