#pragma once

#include "common/clock.hpp"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace fireflysail
{

/// Cuts streams that make no progress by their deadline.
class stream_watchdog
{
public:
    /// One watched stream; unwatched when destroyed.
    class watch
    {
    public:
        watch(stream_watchdog& owner, std::function<void()> cut);
        ~watch();

        watch(const watch&) = delete;
        watch& operator=(const watch&) = delete;

        /// Moves the deadline; called with each sign of progress.
        void expect_by(time_point deadline);

        /// True once the stream was cut for silence.
        bool expired() const;

    private:
        friend class stream_watchdog;

        stream_watchdog& owner;
        std::function<void()> cut;
        std::atomic<duration::rep> deadline;
        std::atomic<bool> was_cut{false};
        std::list<watch*>::iterator position;
    };

    explicit stream_watchdog(const clock& time);
    ~stream_watchdog();

    stream_watchdog(const stream_watchdog&) = delete;
    stream_watchdog& operator=(const stream_watchdog&) = delete;

private:
    void scan();
    void run();

    const clock& time;
    std::mutex mutex;
    std::condition_variable changed;
    std::list<watch*> watches;
    bool stopped = false;
    std::thread scanner;
};

} // namespace fireflysail
