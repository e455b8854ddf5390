#include "relay/request_memory.hpp"

namespace fireflysail
{

namespace
{

/// Where the instance does not know its memory.
constexpr std::size_t default_limit = std::size_t{64} * 1024 * 1024;

constexpr std::size_t requests_divisor = 4;

/// The request as it came, and as it is sent on.
constexpr std::size_t copies_of_body = 2;

} // namespace

std::size_t request_memory::share_of(byte_count memory)
{
    return memory.value() == 0 ? default_limit
                               : memory.value() / requests_divisor;
}

request_memory::request_memory(std::size_t limit)
    : limit{limit}
{
}

std::size_t request_memory::size() const
{
    return this->total;
}

std::size_t request_memory::refused_count() const
{
    return this->refused;
}

request_memory::holding::holding(request_memory& memory)
    : memory{memory}
{
}

request_memory::holding::~holding()
{
    this->memory.total -= this->size;
}

bool request_memory::holding::take(std::size_t body_bytes)
{
    const std::size_t wanted = copies_of_body * body_bytes;
    const std::size_t others = this->memory.total - this->size;
    if (others > 0 && others + wanted > this->memory.limit && wanted > 0)
    {
        ++this->memory.refused;
        return false;
    }
    this->memory.total = others + wanted;
    this->size = wanted;
    return true;
}

} // namespace fireflysail
