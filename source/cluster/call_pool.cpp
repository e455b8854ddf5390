#include "cluster/call_pool.hpp"

#include <utility>

namespace fireflysail
{

call_pool::call_pool(std::size_t threads, std::size_t most_waiting)
    : most_waiting{most_waiting}
{
    for (std::size_t i = 0; i < threads; ++i)
    {
        this->threads.emplace_back(
            [this]
            {
                this->work();
            });
    }
}

call_pool::~call_pool()
{
    this->stop();
}

bool call_pool::run(task call)
{
    {
        const std::lock_guard lock{this->mutex};
        if (this->stopped || this->waiting.size() >= this->most_waiting)
        {
            return false;
        }
        this->waiting.push_back(std::move(call));
    }
    this->changed.notify_one();
    return true;
}

void call_pool::stop()
{
    {
        const std::lock_guard lock{this->mutex};
        this->stopped = true;
        this->waiting.clear();
    }
    this->changed.notify_all();
    for (auto& thread : this->threads)
    {
        thread.join();
    }
    this->threads.clear();
}

void call_pool::work()
{
    std::unique_lock lock{this->mutex};
    while (true)
    {
        this->changed.wait(
            lock,
            [this]
            {
                return this->stopped || !this->waiting.empty();
            });
        if (this->stopped)
        {
            return;
        }
        const auto call = std::move(this->waiting.front());
        this->waiting.pop_front();
        lock.unlock();
        call();
        lock.lock();
    }
}

} // namespace fireflysail
