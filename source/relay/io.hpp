#pragma once

#include "common/clock.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace fireflysail
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using tcp = asio::ip::tcp;
using io_error = boost::system::error_code;

/// Awaits an operation and yields its error and result as a tuple.
inline constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Calls back once a moment has passed, unless it was moved or cleared before.
/// Moving it later costs nothing, so that each event of a stream may do so.
class io_deadline
{
public:
    io_deadline(
        const asio::any_io_executor& executor,
        const clock& time,
        std::function<void()> on_expiry);
    ~io_deadline();

    io_deadline(const io_deadline&) = delete;
    io_deadline& operator=(const io_deadline&) = delete;

    void set(time_point when);
    void clear();

private:
    struct state;

    static void wait(const std::shared_ptr<state>& shared);

    std::shared_ptr<state> shared;
};

/// Runs handlers until there are none or the context is stopped. An exception
/// ends the handler that threw it alone.
void run_handlers(asio::io_context& io);

/// Runs a coroutine on its own. An exception ends it alone: it is logged with
/// the task's name, a literal.
void spawn_guarded(
    const asio::any_io_executor& executor,
    std::string_view task,
    asio::awaitable<void> work);

/// Calls back after `time`, unless the timer is cancelled or set anew.
void call_after(
    asio::steady_timer& timer, duration time, std::function<void()> call);

/// Waits for `time`, or less when the timer is cancelled.
asio::awaitable<void> pause_for(asio::steady_timer& timer, duration time);

/// Takes the error of an operation whose failure changes nothing: what comes
/// next on the same socket reports it.
inline void ignore(const io_error&) {}

/// Closes without an error that anybody could act on.
void close_quietly(tcp::socket& socket);

/// True when the other side has closed the connection or sent bytes that
/// nobody asked for.
bool has_pending_input(tcp::socket& socket);

} // namespace fireflysail
