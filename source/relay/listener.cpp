#include "relay/listener.hpp"

#include "common/guarded.hpp"
#include "common/log.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Pause after a failed accept, as when descriptors run out.
constexpr duration accept_pause = 50ms;

/// The pause between attempts to bind the address doubles from the first to the
/// longest.
constexpr duration first_bind_pause = 50ms;
constexpr duration longest_bind_pause = 1s;

} // namespace

listener::listener(
    asio::io_context& io, std::string name, endpoint address, taker take)
    : name{std::move(name)}
    , address{std::move(address)}
    , take{std::move(take)}
    , acceptor{io}
    , pause{io}
{
}

void listener::start()
{
    this->try_to_listen();
    spawn_guarded(this->acceptor.get_executor(), "accept", this->run());
}

void listener::close()
{
    this->closed = true;
    io_error ignored;
    ignore(this->acceptor.close(ignored));
    this->pause.cancel();
}

bool listener::is_listening() const
{
    return this->acceptor.is_open();
}

bool listener::try_to_listen()
{
    const io_error failed = this->listen();
    const std::string place =
        fmt::format("{}:{}", this->address.host, this->address.port);
    if (failed)
    {
        ++this->failures;
        log::event(
            log::level::error,
            log::channel::api,
            "cannot_listen",
            {{"listener", this->name},
             {"address", place},
             {"error", failed.message()},
             {"failures", this->failures}});
        return false;
    }
    log::event(
        log::level::info,
        log::channel::api,
        "listening",
        {{"listener", this->name},
         {"address", place},
         {"failures", this->failures}});
    return true;
}

io_error listener::listen()
{
    io_error failed;
    const auto ip = asio::ip::make_address(this->address.host, failed);
    const tcp::endpoint here{
        ip, static_cast<unsigned short>(this->address.port)};
    tcp::acceptor fresh{this->acceptor.get_executor()};
    if (failed || fresh.open(here.protocol(), failed) ||
        fresh.set_option(tcp::acceptor::reuse_address{true}, failed) ||
        fresh.bind(here, failed) ||
        fresh.listen(tcp::acceptor::max_listen_connections, failed))
    {
        return failed;
    }
    this->acceptor = std::move(fresh);
    return {};
}

asio::awaitable<void> listener::run()
{
    duration wait = first_bind_pause;
    while (!this->closed && !this->is_listening())
    {
        co_await pause_for(this->pause, wait);
        wait = std::min(wait * 2, longest_bind_pause);
        if (!this->closed)
        {
            this->try_to_listen();
        }
    }
    co_await this->accept();
}

asio::awaitable<void> listener::accept()
{
    while (this->acceptor.is_open())
    {
        auto [error, accepted] =
            co_await this->acceptor.async_accept(as_result);
        if (error == asio::error::operation_aborted)
        {
            co_return;
        }
        if (error)
        {
            log::event(
                log::level::warning,
                log::channel::api,
                "accept_failed",
                {{"listener", this->name}, {"error", error.message()}});
            co_await pause_for(this->pause, accept_pause);
            continue;
        }
        run_guarded(
            "accept",
            [this, &socket = accepted]
            {
                this->take(std::move(socket));
            });
    }
}

} // namespace fireflysail
