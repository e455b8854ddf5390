#include "scripted_store.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <utility>

namespace fireflysail
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

} // namespace

scripted_store::connection::connection(tcp::socket accepted)
    : socket{std::move(accepted)}
{
}

scripted_store::scripted_store(script answer)
    : answer{std::move(answer)}
    , listener{this->io, {asio::ip::make_address("127.0.0.1"), 0}}
    , acceptor{[this]
               {
                   this->accept_all();
               }}
{
}

scripted_store::~scripted_store()
{
    {
        const absl::MutexLock lock{&this->mutex};
        this->stopping = true;
    }
    // Wakes the threads that wait for connections and requests.
    shutdown(this->listener.native_handle(), SHUT_RDWR);
    this->acceptor.join();
    const auto all = [this]() -> std::list<connection>&
    {
        const absl::MutexLock lock{&this->mutex};
        return this->connections;
    };
    for (connection& each : all())
    {
        shutdown(each.socket.native_handle(), SHUT_RDWR);
        each.thread.join();
    }
}

endpoint scripted_store::address() const
{
    return {"127.0.0.1", this->listener.local_endpoint().port()};
}

void scripted_store::silence_open_connections()
{
    const absl::MutexLock lock{&this->mutex};
    for (connection& each : this->connections)
    {
        each.is_silent = true;
    }
}

std::size_t scripted_store::connection_count() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->connections.size();
}

void scripted_store::accept_all()
{
    while (true)
    {
        boost::system::error_code error;
        tcp::socket accepted = this->listener.accept(error);
        const absl::MutexLock lock{&this->mutex};
        if (error || this->stopping)
        {
            return;
        }
        connection& added = this->connections.emplace_back(std::move(accepted));
        added.thread = std::thread{[this, &added]
                                   {
                                       this->serve(added);
                                   }};
    }
}

void scripted_store::serve(connection& served)
{
    beast::flat_buffer buffer;
    while (true)
    {
        http::request<http::string_body> request;
        boost::system::error_code error;
        http::read(served.socket, buffer, request, error);
        if (error)
        {
            return;
        }
        http::response<http::string_body> response{
            http::int_to_status(this->status), 11};
        const auto target = request.target();
        response.body() = this->answer({target.data(), target.size()});
        if (const auto named = this->era.load(); named != 0)
        {
            response.set("Store-Era", std::to_string(named));
        }
        response.prepare_payload();
        const absl::MutexLock lock{&this->mutex};
        if (!served.is_silent)
        {
            http::write(served.socket, response, error);
        }
    }
}

} // namespace fireflysail
