#pragma once

#include "backend/service_api.hpp"
#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "common/snapshot_cell.hpp"
#include "ledger/at_most_once_executor.hpp"
#include "routing/outcome.hpp"
#include "serving/admission_gate.hpp"
#include "serving/recovery_pool.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <optional>
#include <random>
#include <variant>
#include <vector>

namespace fireflysail
{

/// A call to a plain service.
struct service_call
{
    service_id service;
    service_request request;
    workspace_id workspace;
    time_point deadline;
    /// May be sent more than once.
    bool idempotent = false;
};

/// The key was used before for a request with other content.
struct key_conflict
{
};

/// The service's answer, or why there is none.
using service_answer = std::variant<service_response, outcome, key_conflict>;

/// Sends calls to the backend servers of plain services: idempotent ones again
/// after a failure, those with a key through the ledger, all others once.
class service_runner
{
public:
    service_runner(
        const clock& time,
        const snapshot_cell<fleet_snapshot>& fleet,
        service_api& services,
        recovery_pool& recoveries,
        at_most_once_executor& ledger);

    service_answer
    run(const service_call& call, const caller_presence& present);

    /// Sends the call once: to another backend server only while nothing was
    /// sent to the ones before.
    service_answer send_once(const service_call& call);

    std::size_t running() const;

private:
    struct target
    {
        server_id id;
        endpoint address;
    };

    std::optional<target>
    pick(const service_id& service, const std::vector<server_id>& avoid);
    service_result send(const service_call& call, const target& to);
    service_answer
    run_idempotent(const service_call& call, const caller_presence& present);
    service_answer run_claimed(const service_call& call);
    dispatch_result dispatch(const service_call& call);

    const clock& time;
    const snapshot_cell<fleet_snapshot>& fleet;
    service_api& services;
    recovery_pool& recoveries;
    at_most_once_executor& ledger;

    mutable absl::Mutex mutex;
    absl::flat_hash_map<server_id, int> in_flight ABSL_GUARDED_BY(mutex);
    std::mt19937_64 random ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
