#include "http/two_answer_server.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <tuple>
#include <utility>

namespace fireflysail
{

namespace
{

using boost::asio::ip::tcp;

void answer(tcp::socket& socket, const std::string& bytes)
{
    std::string request;
    boost::system::error_code ended;
    boost::asio::read_until(
        socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ended);
    boost::asio::write(socket, boost::asio::buffer(bytes), ended);
}

} // namespace

two_answer_server::two_answer_server(std::string first, bool resets)
    : first{std::move(first)}
    , resets{resets}
    , thread{[this]
             {
                 this->run();
             }}
{
}

two_answer_server::~two_answer_server()
{
    // Ends the wait for a request that was not sent.
    boost::asio::io_context context{1};
    tcp::socket last{context};
    boost::system::error_code ignored;
    std::ignore = last.connect(this->listener.local_endpoint(), ignored);
    std::ignore = last.close(ignored);
    this->thread.join();
}

endpoint two_answer_server::address() const
{
    return {"127.0.0.1", this->listener.local_endpoint().port()};
}

void two_answer_server::run()
{
    tcp::socket faulty = this->listener.accept();
    answer(faulty, this->first);
    boost::system::error_code ended;
    if (this->resets)
    {
        std::ignore =
            faulty.set_option(boost::asio::socket_base::linger{true, 0}, ended);
        std::ignore = faulty.close(ended);
    }
    else
    {
        std::ignore = faulty.shutdown(tcp::socket::shutdown_send, ended);
    }
    tcp::socket sound = this->listener.accept();
    answer(sound, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound");
}

} // namespace fireflysail
