#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace fireflysail
{

/// The standard library's atomic shared pointer.
template <class T>
class atomic_cell
{
public:
    explicit atomic_cell(std::shared_ptr<const T> first = std::make_shared<T>())
        : current{std::move(first)}
    {
    }

    std::shared_ptr<const T> load() const
    {
        return this->current.load(std::memory_order_acquire);
    }

    template <class Reader>
    auto read(Reader&& reader) const
    {
        const auto held = this->load();
        return std::invoke(std::forward<Reader>(reader), *held);
    }

    void publish(std::shared_ptr<const T> next)
    {
        this->current.exchange(std::move(next), std::memory_order_acq_rel);
    }

private:
    std::atomic<std::shared_ptr<const T>> current;
};

/// Counts the readers in a read section; a publication that sees none frees the
/// values replaced so far. Neither side waits. One writer only.
template <class T>
class deferred_cell
{
public:
    explicit deferred_cell(
        std::shared_ptr<const T> first = std::make_shared<T>())
        : owner{std::make_unique<holder>(std::move(first))}
        , current{this->owner.get()}
    {
    }

    std::shared_ptr<const T> load() const
    {
        this->readers.fetch_add(1, std::memory_order_seq_cst);
        auto held = *this->current.load(std::memory_order_seq_cst);
        this->readers.fetch_sub(1, std::memory_order_release);
        return held;
    }

    template <class Reader>
    auto read(Reader&& reader) const
    {
        const auto held = this->load();
        return std::invoke(std::forward<Reader>(reader), *held);
    }

    void publish(std::shared_ptr<const T> next)
    {
        auto fresh = std::make_unique<holder>(std::move(next));
        this->current.store(fresh.get(), std::memory_order_seq_cst);
        this->retired.push_back(std::exchange(this->owner, std::move(fresh)));
        // Readers that enter later in the total order see the new value.
        if (this->readers.load(std::memory_order_seq_cst) == 0)
        {
            this->retired.clear();
        }
    }

private:
    using holder = std::shared_ptr<const T>;

    std::unique_ptr<holder> owner;
    std::atomic<holder*> current;
    mutable std::atomic<int> readers{0};
    std::vector<std::unique_ptr<holder>> retired;
};

} // namespace fireflysail
