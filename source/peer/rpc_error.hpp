#pragma once

#include "common/error.hpp"

#include <system_error>

namespace fireflysail
{

/// Numbers of JSON-RPC errors that carry an errc: the range that JSON-RPC
/// leaves to servers, counted down from here.
inline constexpr int rpc_error_base = -32000;

inline int to_rpc_error(const std::error_code& code)
{
    const bool ours = code.category() == make_error_code(errc{}).category();
    const int value = ours ? code.value() : static_cast<int>(errc::malformed);
    return rpc_error_base - value;
}

/// errc::malformed for a number that carries no errc.
inline std::error_code from_rpc_error(int number)
{
    const int value = rpc_error_base - number;
    const bool known = value >= static_cast<int>(errc::conflict) &&
                       value <= static_cast<int>(errc::cancelled);
    return known ? make_error_code(static_cast<errc>(value))
                 : make_error_code(errc::malformed);
}

} // namespace fireflysail
