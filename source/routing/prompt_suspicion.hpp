#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"
#include "routing/crash_suspicion.hpp"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace fireflysail
{

/// What one request has in common with others: its whole content, and the
/// parts of its prompt.
struct request_content
{
    fingerprint whole;
    std::vector<prompt_part> parts;

    bool operator==(const request_content&) const = default;
};

/// A run that ended with the crash of its engine before it brought an event.
struct crashed_run
{
    server_id server;
    request_content content;
    /// The header of its answer had come, so the engine was at work on it.
    bool answered = false;

    bool operator==(const crashed_run&) const = default;
};

/// Parts of prompts with which a run began to answer.
struct begun_parts
{
    std::vector<prompt_part> parts;
    /// Time since then; relative, because instances do not share a clock.
    duration age{};

    bool operator==(const begun_parts&) const = default;
};

/// Requests with all of these parts are refused. The whole content of a request
/// counts as a part of it.
struct part_quarantine
{
    /// In ascending order.
    std::vector<prompt_part> parts;
    /// How often it has begun.
    std::uint32_t count = 0;
    /// Time since it last began.
    duration age{};
    duration left{};

    bool operator==(const part_quarantine&) const = default;
};

/// Identifies the parts of prompts that crash the engines which answer them.
/// Every part of a run that crashed is a suspect until a run with it begins to
/// answer. A suspect that stays one over several crashes is quarantined,
/// together with the suspects that were in each of its crashes, because these
/// cannot be told apart.
///
/// Handles prompts that crash engines one after the other and have only a part
/// in common, at any instance, among sound prompts that share their other
/// parts.
class prompt_suspicion
{
public:
    struct options
    {
        /// Crashes at which a part is quarantined, and a whole content.
        double part_threshold = 3;
        double whole_threshold = 2;
        /// A part is quarantined only after crashes of this many contents.
        std::size_t min_contents = 2;
        /// What a crash counts for a run that had no header yet: it may just
        /// have waited at the engine.
        double unanswered_weight = 0.5;
        /// Crashes within this time count once: engines lost together have a
        /// common cause.
        duration common_cause_window = std::chrono::milliseconds{100};
        /// How long a crash counts without another one.
        duration evidence_lifetime = std::chrono::minutes{10};
        duration initial_quarantine = std::chrono::seconds{30};
        int quarantine_growth = 4;
        duration max_quarantine = std::chrono::hours{4};
        std::size_t max_suspects = 2'048;
        std::size_t max_quarantines = 256;
    };

    explicit prompt_suspicion(const options& limits);

    /// Records a crash. Returns the quarantine that it causes, if any.
    std::optional<part_quarantine>
    on_crashed(const crashed_run& run, time_point now);

    /// A run with this content began to answer, so none of its parts crashes
    /// engines. Returns the parts that were under suspicion.
    begun_parts on_begun(const request_content& content, time_point now);

    /// Clears parts, as a run with them began, of what is older than that.
    void clear(const begun_parts& begun, time_point now);

    /// Suspect: it may run, and is not to be repeated after a crash.
    crash_status
    status_of(const request_content& content, time_point now) const;

    /// Lets one request through after its quarantine, to see whether it still
    /// crashes engines. Returns the quarantine that begins for all others, or
    /// nothing if the request is not held back at all.
    std::optional<part_quarantine>
    begin_trial(const request_content& content, time_point now);

    struct import_result
    {
        /// A quarantine that was not known.
        bool is_new = false;
        /// Parts that were seen to begin since; the sender does not know.
        begun_parts outdated;
    };

    /// Merges a quarantine from another instance; never shortens one.
    import_result
    import_quarantine(const part_quarantine& imported, time_point now);

    /// Whether there is a quarantine of exactly these parts, in force or not.
    bool has_quarantine(std::span<const prompt_part> parts) const;

    /// The parts of all quarantines, in force or not.
    std::vector<std::vector<prompt_part>> quarantined_parts() const;

    /// Quarantines in force, at most `max_count`, others at each call.
    std::vector<part_quarantine>
    export_quarantines(std::size_t max_count, time_point now);

    std::size_t quarantine_count(time_point now) const;

    std::size_t suspect_count() const;

    /// No part is under suspicion.
    bool empty() const;

private:
    struct crash
    {
        server_id server;
        time_point when;
        double weight = 0;
    };

    struct suspect
    {
        /// Latest last.
        std::vector<crash> crashes;
        std::vector<fingerprint> contents;
        /// The suspects that were in each of the crashes, in ascending order.
        std::vector<prompt_part> common;
    };

    struct quarantine
    {
        std::vector<prompt_part> parts;
        std::uint32_t count = 0;
        time_point began;
        time_point until;
    };

    using suspects_by_part = absl::flat_hash_map<prompt_part, suspect>;

    bool is_explained(const server_id& server, time_point now) const;
    void record(
        prompt_part part,
        const crashed_run& run,
        const std::vector<prompt_part>& suspects_of_run,
        time_point now);
    bool is_guilty(prompt_part part, double threshold) const;
    /// The part that explains the most of the crashes, if enough.
    std::optional<prompt_part>
    find_guilty(const request_content& content) const;
    part_quarantine
    begin_quarantine(const std::vector<prompt_part>& parts, time_point now);
    /// The crashes of the quarantined parts say nothing about other parts.
    void explain_crashes(prompt_part guilty, time_point now);
    quarantine* find_quarantine(std::span<const prompt_part> parts);
    const quarantine* covering(const request_content& content) const;
    void forget_old(time_point now);
    duration length_of(std::uint32_t count) const;

    options limits;
    suspects_by_part suspects;
    std::vector<quarantine> quarantines;
    /// Engines crashed by a part that is quarantined.
    std::deque<crash> explained;
    /// When runs with parts that had been under suspicion last began.
    absl::flat_hash_map<prompt_part, time_point> begun_at;
    std::size_t next_export = 0;
};

} // namespace fireflysail
