#pragma once

#include "common/clock.hpp"
#include "settings/node_settings.hpp"
#include "store/view_freshness.hpp"
#include "store/vouched_store.hpp"
#include "store/watch_doorbell.hpp"
#include "store/watch_hub.hpp"
#include "store/watch_progress.hpp"

#include <cstddef>
#include <functional>
#include <optional>
#include <random>
#include <string_view>

namespace fireflysail
{

/// How the instance watches what routing depends on.
store_watcher_options watch_options(const service_bounds& bounds);

/// Watches that show within their time whether the store answers at all.
/// Shorter than the gap in which entries of servers lapse.
store_watcher_options short_watch_options(const service_bounds& bounds);

/// This instance's view of the objects of one consumer: the watch that keeps it
/// up to date, a short and cheap one beside it, and how fresh the view is.
class store_view
{
public:
    struct stores
    {
        store& current;
        /// Answers may lag; ending its watches ends no others.
        store& copy;
        /// Answers may lag; for the short watch.
        store& copy_for_short_watch;
    };

    struct listeners
    {
        /// The view has changed or was confirmed. On the watch's thread.
        std::function<void()> on_answer;
        /// The short watch got an answer. On its thread.
        std::function<void()> on_contact;
    };

    store_view(
        const stores& from,
        store_consumer& consumer,
        const clock& time,
        const service_bounds& bounds,
        listeners listening,
        std::mt19937_64& random);

    store_view(const store_view&) = delete;
    store_view& operator=(const store_view&) = delete;

    void start();
    void start_short_watch();

    /// Ends the watch, which is followed by a list. Any thread.
    void interrupt();

    /// Ends the watch if it is of no use any more, and returns the reason for
    /// the log. Any thread.
    std::optional<std::string_view> end_useless_watch();

    watch_hub_status status() const;
    watch_hub_status short_watch_status() const;
    view_position position() const;

    /// Whether the last answer was the copy's. For the watch's thread.
    bool reads_copy() const;

    view_freshness freshness;

private:
    void on_answer(const view_position& reached);

    const listeners listening;
    vouched_store source;
    watch_progress progress;
    watch_hub watch;
    watch_doorbell bell;
    watch_hub bell_watch;
};

} // namespace fireflysail
