#include "notices/notice_channel.hpp"

#include "notices/notice_codec.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

#include <utility>

namespace fireflysail
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

udp::endpoint to_udp(const endpoint& address, boost::system::error_code& error)
{
    return {
        asio::ip::make_address(address.host, error),
        static_cast<std::uint16_t>(address.port)};
}

} // namespace

notice_channel::notice_channel(
    asio::any_io_executor executor, std::function<void(const notice&)> receiver)
    : socket{std::move(executor)}
    , receiver{std::move(receiver)}
{
}

std::error_code notice_channel::open(const endpoint& address)
{
    boost::system::error_code error;
    const udp::endpoint own = to_udp(address, error);
    if (!error)
    {
        this->socket.open(own.protocol(), error);
    }
    if (!error)
    {
        this->socket.bind(own, error);
    }
    if (!error)
    {
        this->socket.non_blocking(true, error);
    }
    if (error)
    {
        boost::system::error_code ignored;
        this->socket.close(ignored);
        return error;
    }
    this->receive();
    return {};
}

void notice_channel::send(
    const notice& told, std::span<const endpoint> receivers)
{
    if (!this->socket.is_open())
    {
        return;
    }
    const std::string text = encode(told);
    for (const endpoint& receiver : receivers)
    {
        boost::system::error_code error;
        const udp::endpoint to = to_udp(receiver, error);
        if (!error)
        {
            this->socket.send_to(asio::buffer(text), to, 0, error);
        }
        ++(error ? this->counts.unsent : this->counts.sent);
    }
}

endpoint notice_channel::address() const
{
    boost::system::error_code error;
    const udp::endpoint own = this->socket.local_endpoint(error);
    return {own.address().to_string(), own.port()};
}

void notice_channel::receive()
{
    this->socket.async_receive_from(
        asio::buffer(this->buffer),
        this->sender,
        [this](boost::system::error_code error, std::size_t length)
        {
            if (error == asio::error::operation_aborted)
            {
                return;
            }
            // An error tells of a datagram sent before, to a closed port.
            if (!error)
            {
                const auto told = decode_notice({this->buffer.data(), length});
                ++(told ? this->counts.received : this->counts.malformed);
                if (told)
                {
                    this->receiver(*told);
                }
            }
            this->receive();
        });
}

} // namespace fireflysail
