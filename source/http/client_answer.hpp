#pragma once

#include <httplib.h>

namespace fireflysail
{

/// Whether HTTP allows the status and the field names of a final answer. The
/// client library takes any.
bool has_sound_head(const httplib::Response& answer);

} // namespace fireflysail
