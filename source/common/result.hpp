#pragma once

#include <boost/outcome/std_result.hpp>

#include <system_error>

namespace fireflysail
{

/// A value, or the std::error_code that says why there is none.
template <class T>
using result = boost::outcome_v2::std_result<T>;

} // namespace fireflysail
