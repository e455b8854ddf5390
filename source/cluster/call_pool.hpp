#pragma once

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace fireflysail
{

/// Threads that make blocking calls to peers, so that one that does not answer
/// holds up neither the control loops nor the calls to others.
class call_pool
{
public:
    using task = std::function<void()>;

    call_pool(std::size_t threads, std::size_t most_waiting);
    ~call_pool();

    call_pool(const call_pool&) = delete;
    call_pool& operator=(const call_pool&) = delete;

    /// False when too many calls wait already; the task is then not run.
    bool run(task call);

    /// Drops what waits and returns when the calls in flight have ended.
    void stop();

private:
    void work();

    const std::size_t most_waiting;
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<task> waiting;
    bool stopped = false;
    std::vector<std::thread> threads;
};

} // namespace fireflysail
