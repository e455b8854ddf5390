#pragma once

#include "blackboard/fleet.hpp"
#include "simulation/event_loop.hpp"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <vector>

namespace fireflysail::simulation
{

/// Speed and memory of one accelerator kind.
struct engine_shape
{
    /// Part of a step that does not depend on the batch, for each layer.
    duration step_per_layer = std::chrono::microseconds{400};
    /// Added by each item of the batch, for each layer.
    duration step_per_item_layer = std::chrono::microseconds{20};
    duration prefill_per_token_layer = std::chrono::nanoseconds{6000};
    /// Most items in one step.
    std::uint32_t max_batch = 32;
    /// Most prompt tokens in one step.
    std::uint32_t prefill_budget = 256;
    /// Most streams resident at once.
    std::uint32_t slots = 128;
    token_count kv_memory{200'000};
    /// Memory of the prefix cache, apart from `kv_memory`.
    token_count prefix_memory{40'000};
};

/// Names a stream on every engine that it uses.
using stream_key = std::uint64_t;

/// Lower values go first, both for slots and for places in a step.
constexpr std::size_t priority_levels = 3;

/// Wish of a stream for a slot and for key/value memory.
struct admission
{
    stream_key stream = 0;
    token_count kv;
    std::uint64_t prefix = 0;
    std::uint32_t priority = 1;
};

/// One pass of a stream through the layers of one engine.
struct work
{
    stream_key stream = 0;
    /// Index into the stages of the stream's pipeline.
    std::uint32_t stage = 0;
    layer_range layers;
    /// Prompt tokens to prefill; 0 for one decoding step.
    std::uint32_t prefill = 0;
    /// Position in the context after the last token of the prefill.
    std::uint32_t context_end = 0;
    std::uint32_t priority = 1;
};

/// A model engine on the virtual clock: continuous batching over slots, a
/// prefix cache that forgets the least recently used, and faults on demand.
class fake_engine
{
public:
    struct listener
    {
        std::function<void(const admission&)> admitted;
        std::function<void(const work&)> done;
        /// A stream was resident or waiting when the engine died.
        std::function<void(stream_key)> lost;
    };

    /// `layers_held` only scales the step time that it reports.
    fake_engine(
        event_loop& loop,
        engine_shape shape,
        std::uint32_t layers_held,
        listener events);

    /// Grants a slot at once or when one gets free.
    void admit(const admission& wish);

    /// Frees the slot, or forgets the wish for one; pending work is dropped.
    void release(stream_key stream);

    /// Queues work of an admitted stream for the next steps.
    void run(const work& item);

    token_count cached_tokens(std::uint64_t prefix) const;

    /// Remembers a prefix of `tokens` tokens.
    void remember_prefix(std::uint64_t prefix, token_count tokens);

    /// Every stream on it is lost; nothing runs until `revive`.
    void die();

    /// Keeps connections open but makes no progress until `revive`.
    void go_silent();

    /// Steps take `factor` times as long from now on.
    void degrade(double factor);

    void revive();

    bool alive() const;

    /// The true load at this moment; reports lag behind it.
    load_report load() const;

    std::uint64_t items_done() const;

private:
    enum class condition
    {
        running,
        silent,
        dead,
    };

    struct cached_prefix
    {
        token_count tokens;
        std::list<std::uint64_t>::iterator age;
    };

    void admit_waiting();
    bool has_room(const admission& wish) const;
    void start_step();
    void finish_step();
    std::vector<work> pick_batch();
    duration step_time(const std::vector<work>& batch);

    event_loop& loop;
    engine_shape shape;
    listener events;
    condition state = condition::running;
    double slowdown = 1;
    bool stepping = false;
    /// Raised by death, so that a step that was under way ends unheard.
    std::uint64_t life = 0;
    /// Smoothed time of a step for each layer that it touched.
    duration recent_step_per_layer{};
    std::uint32_t layers_held = 0;
    std::uint64_t finished_items = 0;
    token_count kv_used;
    token_count prefix_used;
    absl::flat_hash_map<stream_key, token_count> residents;
    std::array<std::deque<admission>, priority_levels> waiting;
    std::array<std::deque<work>, priority_levels> ready;
    std::vector<work> current;
    std::list<std::uint64_t> prefix_ages;
    absl::flat_hash_map<std::uint64_t, cached_prefix> prefixes;
};

} // namespace fireflysail::simulation
