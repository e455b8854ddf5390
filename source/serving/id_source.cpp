#include "serving/id_source.hpp"

#include <fmt/format.h>

namespace fireflysail
{

id_source::id_source(const instance_id& instance, std::uint64_t random)
    : prefix{fmt::format("{}-{:016x}", instance.str(), random)}
{
}

std::string id_source::next(const char* kind)
{
    const auto number = this->counter.fetch_add(1, std::memory_order_relaxed);
    return fmt::format("{}-{}-{}", kind, this->prefix, number);
}

request_id id_source::next_request()
{
    return request_id{this->next("req")};
}

attempt_id id_source::next_attempt()
{
    return attempt_id{this->next("att")};
}

} // namespace fireflysail
