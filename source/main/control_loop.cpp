#include "main/control_loop.hpp"

#include <utility>

namespace fireflysail
{

control_loop::control_loop(
    std::chrono::milliseconds interval, std::function<void()> tick)
    : interval{interval}
    , tick{std::move(tick)}
{
}

control_loop::~control_loop()
{
    this->stop();
}

void control_loop::start()
{
    this->thread = std::thread{[this]
                               {
                                   this->run();
                               }};
}

void control_loop::stop()
{
    {
        const std::lock_guard lock{this->mutex};
        this->stopped = true;
    }
    this->changed.notify_all();
    if (this->thread.joinable())
    {
        this->thread.join();
    }
}

void control_loop::run()
{
    std::unique_lock lock{this->mutex};
    while (!this->stopped)
    {
        lock.unlock();
        this->tick();
        lock.lock();
        this->changed.wait_for(
            lock,
            this->interval,
            [this]
            {
                return this->stopped;
            });
    }
}

} // namespace fireflysail
