#pragma once

#include "common/clock.hpp"
#include "ledger/ledger_entry.hpp"

#include <cstddef>
#include <string>

namespace fireflysail
{

// Ids of the sends and instances of the model.

inline constexpr time_point before_deadline{};
inline constexpr time_point past_deadline =
    before_deadline + std::chrono::hours{1};
/// Index of the resend that is made after the two sends have ended.
inline constexpr std::size_t last_send = 2;

inline attempt_id attempt_of(std::size_t send)
{
    return attempt_id{std::string(1, static_cast<char>('a' + send))};
}

inline std::size_t send_of(const attempt_id& attempt)
{
    return static_cast<std::size_t>(attempt.str()[0] - 'a');
}

inline instance_id name_of(std::size_t instance)
{
    return instance_id{std::string(1, static_cast<char>('0' + instance))};
}

inline std::size_t instance_of(const instance_id& name)
{
    return static_cast<std::size_t>(name.str()[0] - '0');
}

/// Each attempt gets a distinct response.
inline stored_response response_of(const attempt_id& attempt)
{
    return {200, "text/plain", attempt.str(), true};
}

} // namespace fireflysail
