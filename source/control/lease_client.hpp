#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "control/leader_lease.hpp"
#include "store/store.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace fireflysail
{

inline constexpr const char* lease_kind = "lease";

std::string encode(const lease_record& record);

/// Errors: errc::malformed.
result<lease_record> decode_lease(std::string_view value);

/// Performs the store calls of one duty's lease. Not thread-safe.
class lease_client
{
public:
    lease_client(
        const duty_id& duty,
        leader_lease lease,
        store& objects,
        const clock& time);

    /// Makes the store calls that are due and returns the time of the next
    /// call.
    time_point step();

    /// The leadership currently held, if any.
    std::optional<leadership> held() const;

    /// See leader_lease::latest().
    std::optional<leadership> latest() const;

    void set_candidate(bool wanted);

    /// Releases the lease; the store is updated by the next `step`.
    void release();

    /// Ends a release: the lease may be acquired again.
    void resume();

    /// See leader_lease::on_refused().
    void on_refused(fencing_number fence);

private:
    void read();
    void write(const write_lease& wanted);

    const object_key key;
    leader_lease lease;
    store& objects;
    const clock& time;
};

} // namespace fireflysail
