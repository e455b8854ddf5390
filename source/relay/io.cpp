#include "relay/io.hpp"

#include "common/guarded.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace fireflysail
{

struct io_deadline::state
{
    state(
        const asio::any_io_executor& executor,
        const clock& time,
        std::function<void()> on_expiry)
        : timer{executor}
        , time{time}
        , on_expiry{std::move(on_expiry)}
    {
    }

    asio::steady_timer timer;
    const clock& time;
    std::function<void()> on_expiry;
    std::optional<time_point> due;
    /// When the pending wait ends; none while nothing is waited for.
    std::optional<time_point> wakes_at;
};

io_deadline::io_deadline(
    const asio::any_io_executor& executor,
    const clock& time,
    std::function<void()> on_expiry)
    : shared{std::make_shared<state>(executor, time, std::move(on_expiry))}
{
}

io_deadline::~io_deadline()
{
    this->shared->on_expiry = nullptr;
    this->shared->due.reset();
    this->shared->timer.cancel();
}

void io_deadline::set(time_point when)
{
    this->shared->due = when;
    if (!this->shared->wakes_at || when < *this->shared->wakes_at)
    {
        wait(this->shared);
    }
}

void io_deadline::clear()
{
    this->shared->due.reset();
}

void io_deadline::wait(const std::shared_ptr<state>& shared)
{
    shared->wakes_at = shared->due;
    shared->timer.expires_after(*shared->due - shared->time.now());
    shared->timer.async_wait(
        [shared](io_error error)
        {
            if (error)
            {
                return;
            }
            shared->wakes_at.reset();
            if (!shared->due)
            {
                return;
            }
            if (shared->time.now() < *shared->due)
            {
                wait(shared);
                return;
            }
            shared->due.reset();
            if (shared->on_expiry)
            {
                shared->on_expiry();
            }
        });
}

void run_handlers(asio::io_context& io)
{
    const auto run = [&io]
    {
        io.run();
    };
    while (!run_guarded("traffic", run))
    {
    }
}

void spawn_guarded(
    const asio::any_io_executor& executor,
    std::string_view task,
    asio::awaitable<void> work)
{
    asio::co_spawn(
        executor,
        std::move(work),
        [task](const std::exception_ptr& failure)
        {
            if (failure)
            {
                note_failed_step(task, failure);
            }
        });
}

void call_after(
    asio::steady_timer& timer, duration time, std::function<void()> call)
{
    timer.expires_after(time);
    timer.async_wait(
        [call = std::move(call)](io_error error)
        {
            if (!error)
            {
                call();
            }
        });
}

asio::awaitable<void> pause_for(asio::steady_timer& timer, duration time)
{
    timer.expires_after(time);
    co_await timer.async_wait(as_result);
}

void close_quietly(tcp::socket& socket)
{
    io_error error;
    ignore(socket.close(error));
}

bool has_pending_input(tcp::socket& socket)
{
    io_error error;
    ignore(socket.non_blocking(true, error));
    if (error)
    {
        return true;
    }
    char byte = 0;
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace fireflysail
