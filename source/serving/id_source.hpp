#pragma once

#include "common/identifiers.hpp"

#include <atomic>
#include <cstdint>
#include <string>

namespace fireflysail
{

/// Names requests and attempts; no two processes give the same name. Safe to
/// use from many threads.
class id_source
{
public:
    /// `instance` and `random` together are unique to one run of a process.
    id_source(const instance_id& instance, std::uint64_t random);

    request_id next_request();
    attempt_id next_attempt();

private:
    std::string next(const char* kind);

    std::string prefix;
    std::atomic<std::uint64_t> counter{0};
};

} // namespace fireflysail
