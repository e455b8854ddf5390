#pragma once

#include <absl/container/flat_hash_map.h>

#include <bitset>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>

namespace fireflysail
{

/// Remembers which messages a receiver has accepted, without any clock. A
/// message names the receiver's session, which is drawn at start, and a
/// sequence number that its sender counts up for this receiver. Thread-safe.
class replay_guard
{
public:
    /// `draw_session` gives a new unpredictable name at each call.
    explicit replay_guard(
        std::function<std::string()> draw_session,
        std::size_t max_senders = 4096);

    /// Messages signed for another session are refused.
    std::string session() const;

    /// True once for each (session, sender, sequence). False for a session
    /// that is over, and for a number too far below the highest seen.
    bool accept(
        const std::string& for_session,
        const std::string& sender,
        std::uint64_t sequence);

private:
    static constexpr std::size_t window_size = 256;

    struct window
    {
        std::uint64_t highest = 0;
        /// Bit i stands for `highest` - i.
        std::bitset<window_size> seen;
    };

    const std::function<std::string()> draw_session;
    const std::size_t max_senders;
    mutable std::mutex mutex;
    std::string current;
    absl::flat_hash_map<std::string, window> senders;
};

} // namespace fireflysail
