#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace fireflysail
{

/// Holds back requests to servers that refused one and named a time for which
/// they want none. Requests go to the other servers of the service meanwhile.
/// A server that was full when it refused is given a growing share of the
/// requests after its time, as all instances come back together. Thread-safe.
///
/// Answers servers that shed load in turn while the service as a whole has
/// room.
class server_backoff
{
public:
    struct options
    {
        /// A server that names a longer time is tried after this one.
        duration longest = std::chrono::minutes{5};
        /// Time after the end in which the share of requests grows.
        duration ramp = std::chrono::seconds{1};
    };

    static constexpr std::size_t max_servers = 4'096;

    server_backoff(const clock& time, const options& chosen);

    /// The server refused a request; the newest word counts. `boot` is the
    /// start time that the server's entry states. Returns true unless it was
    /// backing off already.
    bool on_refusal(
        const server_id& server,
        std::uint64_t boot,
        duration wait,
        bool was_full);

    /// The server refused a request and named a time that cannot be read.
    /// Returns true the first time, for the log.
    bool on_unreadable(const server_id& server);

    /// The server is listed with this boot, which ends the backoff of another.
    void on_boot(const server_id& server, std::uint64_t boot);

    /// When the server takes requests again; none if it does.
    std::optional<time_point> until(const server_id& server) const;

    /// Servers that want no request now.
    std::vector<server_id> closed() const;

    /// Servers that come back, without those that are drawn to get the next
    /// request. They take it all the same if there is no other.
    std::vector<server_id> returning(std::mt19937_64& random) const;

    std::size_t count() const;

private:
    struct record
    {
        std::uint64_t boot = 0;
        time_point until{};
        bool was_full = false;
    };

    void forget_ended(time_point now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const clock& time;
    const options chosen;
    mutable absl::Mutex mutex;
    absl::flat_hash_map<server_id, record> records ABSL_GUARDED_BY(mutex);
    absl::flat_hash_set<server_id> unreadable ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
