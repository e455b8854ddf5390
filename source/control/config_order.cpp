#include "control/config_order.hpp"

#include "common/hash.hpp"

#include <algorithm>

namespace fireflysail
{

bool config_order::accepts(
    std::string_view text, std::uint64_t version, revision stored_at)
{
    const bool is_restored = this->newest && era_of(stored_at) > this->era;
    if (!is_restored && this->newest && version <= *this->newest)
    {
        return false;
    }
    const bool was_read =
        std::ranges::find(this->read, stable_hash(text)) != this->read.end();
    this->newest = version;
    this->era = era_of(stored_at);
    this->skip(text);
    return !is_restored || !was_read;
}

void config_order::skip(std::string_view text)
{
    const std::uint64_t print = stable_hash(text);
    if (std::ranges::find(this->read, print) != this->read.end())
    {
        return;
    }
    if (this->read.size() == max_remembered)
    {
        this->read.pop_front();
    }
    this->read.push_back(print);
}

} // namespace fireflysail
