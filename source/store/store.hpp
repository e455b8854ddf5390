#pragma once

#include "common/clock.hpp"
#include "common/error.hpp"
#include "common/identifiers.hpp"
#include "common/result.hpp"

#include <compare>
#include <string>
#include <vector>

namespace fireflysail
{

/// Names one object of the platform's store, e.g. {"plan", "acme"}.
struct object_key
{
    std::string kind;
    std::string name;

    auto operator<=>(const object_key&) const = default;
};

struct stored_object
{
    object_key key;
    std::string value;
    revision version;
};

/// All objects of the asked kinds as of one revision of the store.
struct store_snapshot
{
    revision version;
    std::vector<stored_object> objects;
};

struct store_event
{
    enum class change
    {
        written,
        removed,
    };

    change what = change::written;
    /// For a removal, `value` is empty and `version` is the removal's.
    stored_object object;
};

/// Events in order of revision, and the revision to watch from next.
struct watch_batch
{
    revision next;
    std::vector<store_event> events;
};

/// Longest wait for one read or write where nothing else sets a deadline: the
/// store answers in milliseconds, and a call that it lost is worth repeating
/// soon.
inline constexpr duration short_call_time = std::chrono::milliseconds{600};

/// The platform's object API. Every call ends by its deadline. Errors, unless
/// said otherwise: errc::unavailable (no effect), errc::unknown_effect (writes
/// only: the write may have taken, or may still take, effect), errc::malformed,
/// errc::over_budget (nothing was sent).
class store
{
public:
    virtual ~store() = default;

    /// Also errc::not_found.
    virtual result<stored_object>
    get(const object_key& key, time_point deadline) = 0;

    virtual result<store_snapshot>
    list(const std::vector<std::string>& kinds, time_point deadline) = 0;

    /// Writes an object that must not exist. Also errc::conflict.
    virtual result<revision> create(
        const object_key& key,
        const std::string& value,
        time_point deadline) = 0;

    /// Replaces the object if its version is still `expected`. Also
    /// errc::conflict, errc::not_found.
    virtual result<revision> update(
        const object_key& key,
        const std::string& value,
        revision expected,
        time_point deadline) = 0;

    /// Removes the object if its version is still `expected`. Also
    /// errc::conflict, errc::not_found.
    virtual result<revision>
    remove(const object_key& key, revision expected, time_point deadline) = 0;

    /// Waits for changes of `kinds` after `from`; an empty batch when there is
    /// none by the deadline. Also errc::compacted: take a new snapshot.
    virtual result<watch_batch> watch(
        const std::vector<std::string>& kinds,
        revision from,
        time_point deadline) = 0;

    /// Ends the watches in flight, which fail as unavailable; where that is not
    /// possible they run on to their deadline. Any thread.
    virtual void interrupt_watches() {}
};

} // namespace fireflysail
