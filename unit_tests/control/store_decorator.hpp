#pragma once

#include "common/error.hpp"
#include "store/store.hpp"
#include "store_model.hpp"

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fireflysail::testing
{

/// Forwards calls and runs hooks around them, so that a test can interleave
/// concurrent callers at every step on one thread.
class store_decorator : public store
{
public:
    using hook = std::function<void()>;

    explicit store_decorator(store& inner)
        : inner{inner}
    {
    }

    void before_next(store_call call, hook action)
    {
        this->before = {call, std::move(action)};
    }

    void after_next(store_call call, hook action)
    {
        this->after = {call, std::move(action)};
    }

    result<stored_object>
    get(const object_key& key, time_point deadline) override
    {
        this->run_before_hooks(store_call::get);
        auto answer = this->inner.get(key, deadline);
        this->run_after_hooks(store_call::get);
        return answer;
    }

    result<store_snapshot>
    list(const std::vector<std::string>& kinds, time_point deadline) override
    {
        this->run_before_hooks(store_call::list);
        auto answer = this->inner.list(kinds, deadline);
        this->run_after_hooks(store_call::list);
        return answer;
    }

    result<revision> create(
        const object_key& key,
        const std::string& value,
        time_point deadline) override
    {
        if (key.kind == this->fail_create_of_kind)
        {
            return errc::unavailable;
        }
        this->run_before_hooks(store_call::create);
        auto answer = this->inner.create(key, value, deadline);
        this->run_after_hooks(store_call::create);
        return answer;
    }

    result<revision> update(
        const object_key& key,
        const std::string& value,
        revision expected,
        time_point deadline) override
    {
        this->run_before_hooks(store_call::update);
        auto answer = this->inner.update(key, value, expected, deadline);
        this->run_after_hooks(store_call::update);
        return answer;
    }

    result<revision> remove(
        const object_key& key, revision expected, time_point deadline) override
    {
        this->run_before_hooks(store_call::remove);
        auto answer = this->inner.remove(key, expected, deadline);
        this->run_after_hooks(store_call::remove);
        return answer;
    }

    result<watch_batch> watch(
        const std::vector<std::string>& kinds,
        revision from,
        time_point deadline) override
    {
        return this->inner.watch(kinds, from, deadline);
    }

    /// Kind of object whose creation fails without effect.
    std::string fail_create_of_kind;

    /// Called before and after every call except `watch`.
    hook before_each;
    hook after_each;

private:
    struct pending_hook
    {
        store_call call;
        hook action;
    };

    static void run(std::optional<pending_hook>& pending, store_call call)
    {
        if (pending && pending->call == call)
        {
            const auto action = std::exchange(pending, std::nullopt)->action;
            action();
        }
    }

    void run_before_hooks(store_call call)
    {
        run(this->before, call);
        if (this->before_each)
        {
            this->before_each();
        }
    }

    void run_after_hooks(store_call call)
    {
        run(this->after, call);
        if (this->after_each)
        {
            this->after_each();
        }
    }

    store& inner;
    std::optional<pending_hook> before;
    std::optional<pending_hook> after;
};

} // namespace fireflysail::testing
