#include "common/descriptor_limit.hpp"

#include <sys/resource.h>

#include <algorithm>

namespace fireflysail
{

std::uint32_t raise_descriptor_limit(std::uint32_t wanted)
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
    {
        return wanted;
    }
    if (limit.rlim_cur < wanted)
    {
        const rlim_t before = limit.rlim_cur;
        limit.rlim_cur = std::min<rlim_t>(wanted, limit.rlim_max);
        if (setrlimit(RLIMIT_NOFILE, &limit) != 0)
        {
            limit.rlim_cur = before;
        }
    }
    return static_cast<std::uint32_t>(std::min<rlim_t>(wanted, limit.rlim_cur));
}

} // namespace fireflysail
