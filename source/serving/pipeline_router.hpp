#pragma once

#include "backend/engine_messages.hpp"
#include "blackboard/fleet.hpp"
#include "blackboard/peers.hpp"
#include "common/clock.hpp"
#include "common/snapshot_cell.hpp"
#include "routing/choice.hpp"
#include "routing/ejection.hpp"
#include "routing/load_tracker.hpp"
#include "routing/planner.hpp"
#include "routing/prefix_affinity.hpp"
#include "routing/replacement.hpp"
#include "routing/service_times.hpp"

#include <absl/container/flat_hash_map.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace fireflysail
{

/// A pipeline chosen for one attempt, with where its stages listen.
struct routed_pipeline
{
    pipeline route;
    completion_estimate expected;
    std::vector<stage_address> stages;
};

using route_outcome = std::variant<routed_pipeline, no_route>;

/// Publishes the planned pipelines and chooses among them. `refresh` belongs
/// to one controller thread; the rest is for request threads.
class pipeline_router
{
public:
    pipeline_router(
        const clock& time, const snapshot_cell<fleet_snapshot>& fleet);

    /// Plans anew if the fleet or the ejected engines changed, and takes in
    /// load reports.
    void refresh();

    route_outcome choose(const route_request& request) const;

    /// A pipeline that keeps the stages of `previous` but the lost ones; none
    /// when the lost layers cannot be had beside them.
    std::optional<routed_pipeline> replace(
        const pipeline& previous,
        const std::vector<server_id>& lost,
        const route_request& request) const;

    /// Counts a stream on every stage, until destroyed.
    class usage
    {
    public:
        usage(pipeline_router& router, const pipeline& used);
        ~usage();

        usage(const usage&) = delete;
        usage& operator=(const usage&) = delete;

    private:
        pipeline_router& router;
        const pipeline& used;
    };

    /// The first stage tells how many streams it runs and holds back.
    void on_first_stage_load(
        const pipeline& used, std::uint32_t running, std::uint32_t waiting);

    /// Takes the streams of all instances on the pipelines that begin at each
    /// first stage, where `streams_at` knows them.
    void set_fleet_streams(
        const std::function<std::optional<double>(const server_id&)>&
            streams_at,
        time_point measured_at);

    /// Whether the streams of all instances were counted lately.
    bool has_fleet_streams() const;

    /// Streams that the engines of the model run at once without preempting
    /// one: the least over the layers. Those on `unusable` engines are left
    /// out.
    double stream_capacity(
        const model_id& model, std::span<const server_id> unusable) const;

    void on_token(const pipeline& used, duration token_time);

    /// The attempt failed; `server` is the stage at fault, or empty when any of
    /// them may be: a hung one has no tokens to make up for the blame.
    void on_failure(const pipeline& used, const server_id& server);

    /// The stage that hangs, of a stream without a token since `silent_since`;
    /// none if its other streams go on, or if there are none to compare with.
    std::optional<server_id>
    stalled_stage(const pipeline& used, time_point silent_since) const;

    void on_prefix(std::uint64_t prefix, const pipeline& used);

    /// True when there is a pipeline for each model of the fleet.
    bool covers_all_models() const;

    /// Engines at which the planned pipelines begin.
    std::vector<server_id> first_stages() const;

    /// The same, of the pipelines of one model.
    std::vector<server_id> first_stages(const model_id& model) const;

    /// True when each zone with engines has a pipeline that begins there.
    bool covers_every_zone() const;

    /// Streams that the fleet runs at once for each model, from what the
    /// engines report: the least over the model's layers.
    std::vector<std::pair<model_id, std::size_t>> model_slots() const;

private:
    struct view
    {
        std::shared_ptr<const fleet_snapshot> fleet;
        std::shared_ptr<const route_table> routes;
        absl::flat_hash_map<server_id, endpoint> addresses;
    };

    load_view view_now() const;
    static std::optional<routed_pipeline> with_addresses(
        const view& known,
        const pipeline& route,
        const completion_estimate& expected);
    void take_reports(const fleet_snapshot& fleet, const route_table& routes);

    const clock& time;
    const snapshot_cell<fleet_snapshot>& fleet;
    snapshot_cell<view> current;
    load_tracker loads;
    service_times times;
    service_states states;
    prefix_affinity prefixes;
    ejector ejections;
    /// When the streams of all instances were last counted.
    std::atomic<time_point> fleet_streams_at{time_point{}};
    /// By slot of the first engine: streams of all instances, as last used.
    std::vector<double> fleet_streams;
    /// By slot of the engine: when a token last came through it.
    std::vector<std::atomic<duration::rep>> last_tokens;
};

} // namespace fireflysail
