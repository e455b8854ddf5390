#pragma once

#include "common/identifiers.hpp"
#include "common/store_era.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace fireflysail
{

/// Decides which of the configurations that are read from the store are put
/// into force: those with a higher version than before. After the store came
/// back from an older copy, operators may give the version that it lost to
/// another configuration, which replaces the lost one. A lower version is never
/// put into force: it may be one of the copy, or one that is written again in
/// order. Used by one thread.
class config_order
{
public:
    /// Returns whether to put the configuration into force. Called for each
    /// one that is read, in order.
    bool
    accepts(std::string_view text, std::uint64_t version, revision stored_at);

private:
    struct accepted_config
    {
        std::uint64_t version = 0;
        std::uint64_t digest = 0;
        store_era era;
    };

    std::optional<accepted_config> newest;
};

} // namespace fireflysail
