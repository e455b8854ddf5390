#pragma once

#include "api/admin_api.hpp"
#include "api/caller_api.hpp"
#include "backend/http_engine.hpp"
#include "backend/http_service.hpp"
#include "blackboard/blackboard.hpp"
#include "cluster/call_pool.hpp"
#include "cluster/claim_inquiries.hpp"
#include "cluster/gossip_driver.hpp"
#include "cluster/limit_gate.hpp"
#include "cluster/limits_driver.hpp"
#include "cluster/list_handover.hpp"
#include "cluster/order_duty.hpp"
#include "cluster/shared_state.hpp"
#include "control/edit_api.hpp"
#include "control/entry_editor.hpp"
#include "control/entry_reader.hpp"
#include "control/fleet_controller.hpp"
#include "control/lists_controller.hpp"
#include "control/server_marks.hpp"
#include "ledger/at_most_once_executor.hpp"
#include "main/backend_prober.hpp"
#include "main/control_loop.hpp"
#include "main/instance.hpp"
#include "metrics/request_metrics.hpp"
#include "peer/rpc_client.hpp"
#include "peer/rpc_server.hpp"
#include "serving/completion_service.hpp"
#include "serving/service_runner.hpp"
#include "store/budgeted_store.hpp"
#include "store/claim_sweeper.hpp"
#include "store/http_store.hpp"
#include "store/store_claims.hpp"
#include "store/watch_hub.hpp"

#include <atomic>
#include <memory>
#include <optional>
#include <string>

namespace fireflysail
{

/// Every part of an instance, in the order in which they depend on each other.
struct instance::parts
{
    parts(const settings& chosen, const clock& time);

    /// Opens the port for peers; false if it cannot be bound.
    bool start_peers();

    /// Writes the outcomes that the store has not taken yet, for a while.
    void settle_ledger();

    void plan();
    void share();
    void settle();
    void update_ready();
    std::string status() const;
    std::string all_metrics() const;

    settings chosen;
    const clock& time;
    std::uint64_t seed;
    peer self;
    std::atomic<bool> ready{false};
    std::optional<time_point> lists_known_at;

    blackboard board;
    request_metrics metrics;

    http_store objects;
    call_budget budget;
    budgeted_store resolving;
    budgeted_store claiming;
    budgeted_store configuring;
    budgeted_store cleaning;
    lists_controller lists;
    fleet_controller fleet;
    watch_hub hub;

    call_pool calls;
    rpc_client client;
    gossip_driver gossip;
    limits_driver limits;
    limit_gate plan_gate;
    list_handover handover;

    store_claims claims;
    peer_inquiry inquiries;
    thread_sleeper pauses;
    at_most_once_executor ledger;
    claim_sweeper sweeper;

    id_source ids;
    http_engine engines;
    http_service services;
    pipeline_router router;
    crash_watch crashes;
    recovery_pool recoveries;
    completion_service completions;
    service_runner service_calls;
    shared_state shared;
    order_duty orders;

    entry_editor editor;
    entry_reader reader;
    server_marks marks;
    edit_api edits;
    caller_api callers;
    admin_api operators;

    backend_prober prober;
    control_loop planning;
    control_loop queueing;
    control_loop sharing;
    control_loop settling;
    control_loop ordering;
    time_point next_sweep;

    peer_dispatcher dispatcher;
    std::unique_ptr<rpc_server> peer_server;
};

} // namespace fireflysail
