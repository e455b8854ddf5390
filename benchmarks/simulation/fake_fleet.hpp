#pragma once

#include "blackboard/fleet.hpp"
#include "simulation/fake_engine.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace fireflysail::simulation
{

/// Part of a stream's pipeline: an engine by its index in the fleet.
struct fake_stage
{
    std::size_t engine = 0;
    layer_range layers;
    /// Context whose KV cache this stage has already, from an earlier attempt
    /// or an import.
    std::uint32_t kv_held = 0;
};

enum class stream_end
{
    finished,
    /// An engine of the pipeline died.
    stage_lost,
};

struct stream_request
{
    std::vector<fake_stage> stages;
    std::uint32_t prompt_tokens = 0;
    /// Tokens of the whole answer.
    std::uint32_t output_tokens = 0;
    /// Tokens of the answer that the caller has; these are prefilled.
    std::uint32_t delivered = 0;
    std::uint64_t prefix = 0;
    /// Leading prompt tokens that other prompts with `prefix` share.
    std::uint32_t prefix_tokens = 0;
    std::uint32_t priority = 1;
    std::function<void(token_index)> on_token;
    /// Not called after `cancel`.
    std::function<void(stream_end)> on_end;
};

/// Engines joined by links, running streams through pipelines of them.
class fake_fleet
{
public:
    explicit fake_fleet(event_loop& loop);

    /// The engine's index. `about` must hold one range.
    std::size_t add_engine(engine about, engine_shape shape);

    void add_model(model_shape model);

    void set_link(const zone_id& a, const zone_id& b, duration delay);

    stream_key start(stream_request request);

    /// Frees every slot of the stream; it is not heard of again.
    void cancel(stream_key stream);

    /// The stream goes on but its caller hears nothing more of it.
    void silence(stream_key stream);

    fake_engine& at(std::size_t index);

    std::size_t size() const;

    /// Descriptions with the load of this moment; a dead engine is unhealthy.
    fleet_snapshot snapshot() const;

private:
    struct stream
    {
        stream_request request;
        /// Engines in the order of their index: a total order, so that two
        /// streams never wait for slots of one another.
        std::vector<std::size_t> admission_order;
        std::size_t admitted = 0;
        std::uint32_t prefill_from = 0;
        std::uint32_t produced = 0;
        std::uint32_t decode_stage = 0;
        bool heard = true;
    };

    void next_admission(stream_key key, stream& running);
    void on_admitted(const admission& granted);
    void on_done(const work& item);
    void on_lost(stream_key key);
    void begin_prefill(stream_key key, stream& running);
    void run_chunk(stream_key key, std::uint32_t stage, std::uint32_t end);
    void chunk_done(const work& item);
    void decode(stream_key key);
    void decode_done(const work& item, stream& running);
    void deliver(stream_key key);
    void finish(stream_key key, stream_end how);
    void release(stream_key key, const stream& ended);
    duration
    delay_between(std::size_t from_engine, std::size_t to_engine) const;
    std::size_t zone_index(const zone_id& zone);

    event_loop& loop;
    std::vector<std::unique_ptr<fake_engine>> engines;
    std::vector<std::size_t> engine_zone;
    std::vector<zone_id> zones;
    /// By the indices of two zones.
    std::vector<std::vector<duration>> delays;
    fleet_snapshot description;
    stream_key next_key = 1;
    absl::flat_hash_map<stream_key, std::unique_ptr<stream>> streams;
};

} // namespace fireflysail::simulation
