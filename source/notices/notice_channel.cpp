#include "notices/notice_channel.hpp"

#include "common/guarded.hpp"
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
    const asio::any_io_executor& executor, listeners heard_by)
    : socket{executor}
    , heard_by{std::move(heard_by)}
{
}

std::error_code notice_channel::open(const endpoint& address)
{
    boost::system::error_code error;
    const udp::endpoint own = to_udp(address, error);
    udp::socket fresh{this->socket.get_executor()};
    if (error || fresh.open(own.protocol(), error) || fresh.bind(own, error) ||
        fresh.non_blocking(true, error))
    {
        return error;
    }
    this->socket = std::move(fresh);
    this->receive();
    return {};
}

bool notice_channel::is_open() const
{
    return this->socket.is_open();
}

std::size_t notice_channel::send(
    const peer_message& message, std::span<const endpoint> receivers)
{
    if (!this->socket.is_open())
    {
        return 0;
    }
    const std::string text = encode(message);
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
    return text.size();
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
                run_guarded(
                    "notices",
                    [this, length]
                    {
                        this->take({this->buffer.data(), length});
                    });
            }
            this->receive();
        });
}

void notice_channel::take(std::string_view datagram)
{
    const auto message = decode_message(datagram);
    if (!message)
    {
        ++this->counts.malformed;
        return;
    }
    if (!this->heard_by.is_known(
            sender_of(*message), this->sender.address().to_string()))
    {
        ++this->counts.unknown_sender;
        return;
    }
    ++this->counts.received;
    this->heard_by.receive(*message);
}

} // namespace fireflysail
