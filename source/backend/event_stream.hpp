#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fireflysail
{

/// One event as it was received.
struct raw_event
{
    /// With the empty line that ends it; valid until the next call.
    std::string_view text;
    std::optional<std::uint64_t> id;
};

/// Splits a stream of server-sent events.
class event_stream
{
public:
    /// Largest event that is taken.
    static constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;

    /// Adds received bytes; false once an event is too large.
    bool append(std::string_view bytes);

    /// The next whole event; none if there is none yet.
    std::optional<raw_event> next_raw();

    /// True when what was received ends within an event.
    bool has_partial() const;

    /// Payload of the next whole event into `payload`; false if there is none.
    /// Comments (heartbeats) are passed over.
    bool next(std::string& payload);

private:
    std::string buffered;
    std::size_t consumed = 0;
};

} // namespace fireflysail
