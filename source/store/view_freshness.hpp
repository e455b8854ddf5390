#pragma once

#include "common/clock.hpp"
#include "common/store_era.hpp"
#include "store/store.hpp"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace fireflysail
{

struct freshness_options
{
    /// Wait of a watch of an instance that confirms its view by itself.
    duration confirm_interval = std::chrono::seconds{1};
    /// Wait of a watch while a peer confirms the view.
    duration longest_watch = std::chrono::seconds{15};
    /// A confirmation that is older than this counts for nothing.
    duration lifetime = std::chrono::milliseconds{1800};
    /// Each instance of a lower rank waits this much longer for a peer's
    /// confirmation, so that one of them takes over and tells the others.
    duration takeover_step = std::chrono::milliseconds{50};
    /// Time in which a watch of the store itself must tell of a change that a
    /// peer has read.
    duration store_patience = std::chrono::milliseconds{400};
    /// The same for a watch of the copy.
    duration copy_patience = std::chrono::milliseconds{600};
    /// Time in which a change that a peer has read must have arrived here, over
    /// any number of watches of the copy. Longer than the interval between two
    /// watches.
    duration max_lag = std::chrono::milliseconds{1300};
    /// The copy is not used for this long after it was found to be stale.
    duration distrust = std::chrono::seconds{5};
    /// Instances, by rank, whose watches read the store itself. A few, so that
    /// the loss of some of them costs the others nothing.
    std::size_t readers = 6;
};

/// How far a view of the objects of one kind has come.
struct view_position
{
    /// The newest change that it holds, or a later revision where that of the
    /// change is not known.
    revision newest_change;
    /// Equal for views that hold the same objects in the same versions.
    std::uint64_t digest = 0;

    bool operator==(const view_position&) const = default;
};

/// How a watch is to be carried out.
struct watch_plan
{
    enum class source
    {
        store,
        /// The cheap copy, which may be old.
        copy,
    };

    source reads = source::store;
    duration longest{};
};

/// A watch in progress.
struct running_watch
{
    watch_plan plan;
    revision from;
    time_point since;
};

/// Why a watch in progress is of no use any more.
enum class watch_defect
{
    /// A peer has read a change that it has not told of.
    overlooked_change,
    /// No instance has confirmed the view lately, and it would not for long.
    unconfirmed,
};

/// Bounds how old this instance's view of one kind of object can be without a
/// sign. A watch whose connection went silent looks like one without changes,
/// and a copy of the store that lags looks like the store without changes.
///
/// A view is confirmed when the store itself answers a read. One instance, the
/// first by rank that is alive, reads the store at short intervals and reports
/// to the others that it did, and up to which change. The watches of the others
/// may wait for long while such reports arrive and their views have reached the
/// reported change. Without reports each confirms its view by itself. A report
/// of an earlier era of the store than that of this view, or of a program that
/// knows no eras, confirms nothing: its revisions cannot be compared.
/// Thread-safe.
class view_freshness
{
public:
    view_freshness(const clock& time, const freshness_options& options);

    /// The number of peers that come before this instance. Zero at first.
    void set_rank(std::size_t rank);

    /// What this instance's view holds now.
    void on_view(const view_position& view);

    /// The store itself has answered a read that began then, and the view is
    /// complete up to it. Reports of before that are refuted by it where they
    /// are still ahead: a peer is mistaken.
    void on_confirmed(time_point began);

    /// A peer's view holds this, read from the store itself. `age` is the time
    /// since it was confirmed; none if the peer does not come before this
    /// instance.
    void on_report(const view_position& of_peer, std::optional<duration> age);

    watch_plan plan(revision position);

    /// Why the watch must end; none if it may go on.
    std::optional<watch_defect> find_defect(const running_watch& watch);

    /// When this instance last confirmed its view.
    std::optional<time_point> confirmed_at() const;

    /// As of when this view is known to be complete: it was confirmed by this
    /// instance, or by a peer whose view it had reached.
    std::optional<time_point> complete_at() const;

    /// Whether this instance confirms its view by itself.
    bool confirms() const;

    /// Whether its watches never read the copy.
    bool is_reader() const;

private:
    /// The view of a peer.
    struct reported_view
    {
        view_position view;
        /// When this instance was first told of a view ahead of the last one.
        time_point since;
        /// When it was told of this one.
        time_point told_at;
    };

    /// The latest confirmation by a peer.
    struct reported_confirmation
    {
        store_era era;
        time_point at;

        auto operator<=>(const reported_confirmation&) const = default;
    };

    /// When a peer last confirmed the view in its era.
    std::optional<time_point> confirmed_by_peer_at() const
        ABSL_SHARED_LOCKS_REQUIRED(mutex);
    /// Takes over the confirmation of a peer if this view has reached all that
    /// were reported.
    void update_completeness() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    /// Removes the reported views that a view at the position has reached.
    void forget_reached(revision position) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);
    bool is_confirmed_by_peer(time_point now) const
        ABSL_SHARED_LOCKS_REQUIRED(mutex);
    /// Since when a reported view is ahead of that of this instance, whose
    /// watches have come to `position`.
    std::optional<time_point> behind_since(revision position)
        ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex);

    const clock& time;
    const freshness_options options;
    mutable absl::Mutex mutex;
    std::size_t rank ABSL_GUARDED_BY(mutex) = 0;
    std::optional<time_point> own_confirmation ABSL_GUARDED_BY(mutex);
    std::optional<reported_confirmation>
        peer_confirmation ABSL_GUARDED_BY(mutex);
    std::optional<time_point> completed_at ABSL_GUARDED_BY(mutex);
    std::optional<view_position> own ABSL_GUARDED_BY(mutex);
    revision newest_reported ABSL_GUARDED_BY(mutex);
    /// Views that are ahead, in order. This instance lags by the age of the
    /// first of them, however many newer ones there are.
    std::deque<reported_view> ahead ABSL_GUARDED_BY(mutex);
    std::optional<view_position> refuted ABSL_GUARDED_BY(mutex);
    time_point distrusted_until ABSL_GUARDED_BY(mutex);
};

} // namespace fireflysail
