#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <utility>

namespace fireflysail
{

/// Publishes immutable values of T to many readers. Publishing and loading each
/// hold a lock for one exchange or copy of a pointer; a replaced value is freed
/// by whoever held it last.
template <class T>
class snapshot_cell
{
public:
    explicit snapshot_cell(
        std::shared_ptr<const T> first = std::make_shared<T>())
        : current{std::move(first)}
    {
    }

    snapshot_cell(const snapshot_cell&) = delete;
    snapshot_cell& operator=(const snapshot_cell&) = delete;

    /// The current value, kept alive for as long as the caller holds it.
    std::shared_ptr<const T> load() const
    {
        const std::lock_guard lock{this->mutex};
        return this->current;
    }

    /// Calls `reader` with the current value, outside the lock.
    template <class Reader>
    auto read(Reader&& reader) const
    {
        const auto held = this->load();
        return std::invoke(std::forward<Reader>(reader), *held);
    }

    void publish(std::shared_ptr<const T> next)
    {
        {
            const std::lock_guard lock{this->mutex};
            this->current.swap(next);
        }
        // The replaced value ends outside the lock: its destructor can be long.
        next.reset();
    }

private:
    // std::mutex, as Debian's build of Abseil's is not instrumented for
    // ThreadSanitizer.
    mutable std::mutex mutex;
    std::shared_ptr<const T> current;
};

} // namespace fireflysail
