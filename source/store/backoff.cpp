#include "store/backoff.hpp"

#include <algorithm>

namespace fireflysail
{

backoff::backoff(const backoff_options& options)
    : options{options}
    , limit{options.first}
{
}

duration backoff::next(std::mt19937_64& random)
{
    const duration chosen = random_duration(this->limit, random);
    this->limit = std::min(this->limit * 2, this->options.longest);
    return chosen;
}

void backoff::reset()
{
    this->limit = this->options.first;
}

duration random_duration(duration longest, std::mt19937_64& random)
{
    std::uniform_int_distribution<duration::rep> pick{0, longest.count()};
    return duration{pick(random)};
}

} // namespace fireflysail
