#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace fireflysail
{

/// How an engine came under suspicion.
enum class engine_fault
{
    /// Another engine named it as the one that a request failed at.
    named_by_peer,
    /// It took no connection, or cut one without an answer.
    unreachable,
    /// Streams through a pipeline that it belongs to stopped together.
    in_silent_pipeline,
};

/// What an engine that answers an inquiry is found to be.
enum class engine_standing
{
    ready,
    /// Its memory is full, or an order is being carried out: it refuses for
    /// a while.
    busy,
    /// It says itself that it takes no requests.
    leaving,
};

/// Engines that requests should avoid for now, before the store says so: an
/// entry outlives its engine by several heartbeats, while every request that
/// is sent through it waits in vain. A suspicion ends by itself unless it is
/// renewed or an inquiry confirms it; each renewal doubles its time.
///
/// Answers the load pattern of engines that crash, hang or leave unannounced
/// under full load.
class engine_faults
{
public:
    enum class hearsay
    {
        left_out,
        included,
    };

    struct options
    {
        duration first_suspicion = std::chrono::milliseconds{400};
        duration longest_suspicion = std::chrono::seconds{3};
        /// A suspicion this long past its end counts as a new one.
        duration forgotten_after = std::chrono::seconds{5};
        /// Inquiries without an answer that confirm the loss of an engine.
        int inquiries_to_confirm = 2;
        /// Pause between two inquiries about one engine.
        duration inquiry_pause = std::chrono::milliseconds{300};
        /// Refusals in a row, each in a suspicion of its own, that confirm that
        /// an engine with room for requests takes none any more.
        int refusals_to_confirm = 3;
        /// An engine that only refused is tried again so long after its last
        /// suspicion ended.
        duration refusal_rest = std::chrono::seconds{3};
        /// Instances without an answer that confirm a loss together.
        std::size_t witnesses_to_confirm = 2;
        /// What a witness said counts for this long: about two inquiries of
        /// an instance that waits for others to answer.
        duration testimony = std::chrono::seconds{2};
    };

    explicit engine_faults(const options& chosen);

    void report(const server_id& server, engine_fault fault, time_point now);

    /// The engine answered an inquiry and holds what it should. Ends a
    /// suspicion that rested on silence; one that rests on what a peer or a
    /// connection told runs out by itself, as a draining engine answers too.
    /// One that refused and says that it leaves is lost at once; either sign
    /// alone may be false.
    void inquiry_answered(
        const server_id& server, engine_standing standing, time_point now);

    /// Another instance was told by an engine that this one failed. Requests
    /// avoid it for as long as a first suspicion lasts; the other one asks it.
    void heard_fault(const server_id& server, time_point now);

    /// Another instance got no answer to its inquiry. Two that agree, this one
    /// counted if it asked in vain as well, confirm the loss for a while: one
    /// alone may be cut off itself.
    void heard_unanswered(
        const server_id& server, const instance_id& from, time_point now);

    /// Another instance that had got no answer got one.
    void heard_answered(const server_id& server, time_point now);

    /// Whether the last inquiry got no answer.
    bool is_unanswered(const server_id& server) const;

    /// Whether requests were refused by it lately, so that an inquiry should
    /// ask whether it takes any.
    bool refuses(const server_id& server, time_point now) const;

    /// An inquiry got no answer: the engine stays out until it answers one.
    void inquiry_failed(const server_id& server, time_point now);

    bool is_avoided(const server_id& server, time_point now) const;

    /// Engines that requests avoid now.
    std::vector<server_id> avoided(time_point now) const;

    /// Engines that an inquiry should ask now; counts as asked. Those that are
    /// suspected by hearsay alone are asked by `hearsay` only, else every
    /// instance would ask about each loss.
    std::vector<server_id>
    take_due_inquiries(time_point now, hearsay include = hearsay::left_out);

    /// Enough inquiries failed, or it refuses though it has room: its layers
    /// count as lost.
    bool is_lost(const server_id& server, time_point now) const;

    /// Enough inquiries failed: what ran on it has ended. One that refuses may
    /// still be at work on what it took before.
    bool is_gone(const server_id& server) const;

    /// Grows with each change of what is avoided or confirmed.
    std::uint64_t version() const;

    /// Drops what is not in the fleet any more.
    template <class IsKnown>
    void keep_only(IsKnown&& is_known)
    {
        absl::erase_if(
            this->records,
            [&is_known](const auto& item)
            {
                return !is_known(item.first);
            });
    }

private:
    struct record
    {
        engine_fault fault = engine_fault::unreachable;
        time_point until;
        duration length{};
        int failed_inquiries = 0;
        int refusals = 0;
        /// An inquiry since the first refusal found room.
        bool has_room = false;
        time_point next_inquiry;
        /// No request or inquiry of this instance met the fault.
        bool is_hearsay = false;
        /// Other instances that got no answer, and when the last said so.
        std::vector<instance_id> witnesses;
        time_point last_testimony;
    };

    record& hear(const server_id& server, time_point now);
    bool is_witnessed(const record& known, time_point now) const;

    bool is_avoided(const record& known, time_point now) const;
    bool is_gone(const record& known) const;
    bool is_lost(const record& known, time_point now) const;

    options chosen;
    absl::flat_hash_map<server_id, record> records;
    std::uint64_t changes = 0;
};

} // namespace fireflysail
