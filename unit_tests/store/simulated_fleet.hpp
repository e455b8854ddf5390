#pragma once

#include "common/store_era.hpp"
#include "store/store_watcher.hpp"
#include "store/view_freshness.hpp"
#include "store/watch_progress.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

/// A fleet of instances that watch one object of a scripted store, under a
/// clock of its own.
namespace fireflysail::testing
{

using namespace std::chrono_literals;

/// A change must be in every view this long after the store confirmed it.
inline constexpr duration bound = 2s;

/// Time after the loss of connections or of the store from which on that holds
/// again.
inline constexpr duration contact = 3s;

/// By then all instances have read the store and heard of one another.
inline constexpr time_point calm{20s};

/// Number of a change, over all eras.
using change_serial = std::uint64_t;

/// The history of one object, which a copy shows later. Entered in the order of
/// time.
class scripted_history
{
public:
    /// Whether answers name the era, or revisions repeat after a restore.
    enum class eras
    {
        named,
        left_out,
    };

    explicit scripted_history(duration lag, eras answered = eras::named);

    change_serial change_at(time_point when);

    /// The store is away from then on and comes back as it was `age` before.
    void restore_at(time_point when, duration away, duration age);

    struct state
    {
        revision version;
        change_serial newest = 0;
    };

    state read(watch_plan::source from, time_point now) const;

    bool is_away(time_point now) const;

private:
    struct point
    {
        time_point since;
        state shown;
    };

    struct outage
    {
        time_point since;
        time_point until;
    };

    const state& state_at(time_point when) const;

    const duration lag;
    const eras answered;
    std::vector<point> points;
    std::vector<outage> outages;
    change_serial changes = 0;
};

/// The loop of one instance around a watch, with calls that take time.
class simulated_instance
{
public:
    using sender = std::function<void(const view_position&, duration age)>;

    simulated_instance(
        const fireflysail::clock& time,
        const scripted_history& history,
        std::size_t rank,
        std::uint64_t seed,
        sender send);

    void step();

    void on_report(const view_position& view, std::size_t from, duration age);

    void lose_connection();

    /// Whether connections go silent while the store is away, or close.
    void set_silent_when_away(bool silent);

    /// The newest change in the view.
    change_serial seen() const;

    /// Whether the view ever went back in order of revisions, or to an older
    /// change of the same era.
    bool went_back() const;

    std::size_t calls = 0;

private:
    void begin(const store_watcher::command& what);
    void step_list(time_point now);
    void step_watch(time_point now);
    result<watch_batch> answer_of(
        const running_watch& watch, const scripted_history::state& shown) const;
    void lose_store();
    void take(const stored_object& object);
    void on_view(const view_position& view);
    void report();

    const fireflysail::clock& time;
    const scripted_history& history;
    const std::size_t rank;
    const sender send;
    view_freshness freshness;
    store_watcher watcher;
    watch_progress progress;
    std::optional<running_watch> running;
    std::optional<time_point> listing;
    std::optional<time_point> given_up;
    time_point deadline{};
    time_point next_report{};
    view_position reported;
    bool is_silent = false;
    bool silent_when_away = false;
    bool has_read_store = false;
    time_point read_began{};
    scripted_history::state held;
    bool has_gone_back = false;
};

class simulated_fleet
{
public:
    simulated_fleet(
        std::size_t size,
        duration lag,
        std::uint64_t seed,
        scripted_history::eras answered = scripted_history::eras::named);

    void run_until(time_point end);

    /// The connections in use of about this share go silent.
    void lose_connections(double share);

    /// While the store is away, the connections of about this share go silent.
    void set_silent_when_away(double share);

    void stop(std::size_t number);

    bool all_have_seen(change_serial change) const;

    bool any_went_back() const;

    std::size_t calls() const;

    manual_clock time;
    std::mt19937_64 random;
    scripted_history history;

private:
    void deliver(const view_position& view, std::size_t from, duration age);

    std::vector<std::unique_ptr<simulated_instance>> instances;
    std::set<std::size_t> stopped;
};

} // namespace fireflysail::testing
