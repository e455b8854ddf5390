#include "common/invariant.hpp"

#include "common/log.hpp"

#include <cstdlib>

namespace fireflysail
{

void fail_invariant(std::string_view name, const std::source_location& where)
{
    log::last_event(
        log::channel::main,
        "invariant_broken",
        {{"invariant", name},
         {"file", std::string_view{where.file_name()}},
         {"line", where.line()}});
    std::abort();
}

} // namespace fireflysail
