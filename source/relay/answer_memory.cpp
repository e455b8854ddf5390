#include "relay/answer_memory.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

/// Where the instance does not know its memory.
constexpr std::size_t default_limit = std::size_t{64} * 1024 * 1024;

constexpr std::size_t answers_divisor = 5;

} // namespace

std::size_t answer_memory::share_of(byte_count memory)
{
    return memory.value() == 0 ? default_limit
                               : memory.value() / answers_divisor;
}

answer_memory::answer_memory(std::size_t limit)
    : limit{limit}
{
}

std::size_t answer_memory::size() const
{
    return this->total;
}

std::size_t answer_memory::given_up_count() const
{
    return this->given_up;
}

void answer_memory::give_up_longest()
{
    const auto longest =
        std::ranges::max_element(this->readers, {}, &holding::size);
    if (longest == this->readers.end())
    {
        return;
    }
    holding& chosen = **longest;
    this->readers.erase(longest);
    ++this->given_up;
    chosen.is_reading = false;
    chosen.is_given_up = true;
    // Its bytes are freed once the read has ended.
    this->total -= std::exchange(chosen.size, 0);
    chosen.give_up();
}

answer_memory::holding::holding(
    answer_memory& memory, std::function<void()> give_up)
    : memory{memory}
    , give_up{std::move(give_up)}
{
}

answer_memory::holding::~holding()
{
    this->release();
}

void answer_memory::holding::begin_read()
{
    if (!std::exchange(this->is_reading, true))
    {
        this->is_given_up = false;
        this->memory.readers.push_back(this);
    }
}

bool answer_memory::holding::grow(std::size_t bytes)
{
    if (this->is_given_up)
    {
        return false;
    }
    this->size += bytes;
    this->memory.total += bytes;
    while (this->memory.total > this->memory.limit &&
           !this->memory.readers.empty())
    {
        this->memory.give_up_longest();
    }
    return !this->is_given_up;
}

void answer_memory::holding::end_read()
{
    if (std::exchange(this->is_reading, false))
    {
        std::erase(this->memory.readers, this);
    }
}

void answer_memory::holding::release()
{
    this->end_read();
    this->memory.total -= std::exchange(this->size, 0);
}

} // namespace fireflysail
