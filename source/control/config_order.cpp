#include "control/config_order.hpp"

#include "common/hash.hpp"

namespace fireflysail
{

bool config_order::accepts(
    std::string_view text, std::uint64_t version, revision stored_at)
{
    const accepted_config read{version, stable_hash(text), era_of(stored_at)};
    const bool is_accepted =
        !this->newest || version > this->newest->version ||
        (version == this->newest->version && read.era > this->newest->era &&
         read.digest != this->newest->digest);
    if (is_accepted)
    {
        this->newest = read;
    }
    return is_accepted;
}

} // namespace fireflysail
