#pragma once

#include "blackboard/fleet.hpp"
#include "notices/notice.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace fireflysail
{

/// Carries messages among instances as datagrams, one each. Sends never wait:
/// what the socket does not take at once is lost. Messages are taken only from
/// senders that the receiver knows. Used on the executor's thread.
class notice_channel
{
public:
    struct counters
    {
        std::uint64_t sent = 0;
        std::uint64_t unsent = 0;
        std::uint64_t received = 0;
        /// Not a message.
        std::uint64_t malformed = 0;
        /// From an address that is not the one of the instance it names.
        std::uint64_t unknown_sender = 0;
    };

    struct listeners
    {
        /// Whether the instance has an address at the host.
        std::function<bool(const instance_id&, const std::string& host)>
            is_known;
        std::function<void(const peer_message&)> receive;
    };

    notice_channel(
        const boost::asio::any_io_executor& executor, listeners heard_by);

    notice_channel(const notice_channel&) = delete;
    notice_channel& operator=(const notice_channel&) = delete;

    /// Begins to receive at `address`; the error if that cannot be had.
    std::error_code open(const endpoint& address);

    bool is_open() const;

    /// Returns the size of the message; nothing is sent while the channel is
    /// not open.
    std::size_t
    send(const peer_message& message, std::span<const endpoint> receivers);

    /// Address in use, for receivers on a port that the system chose.
    endpoint address() const;

    counters counts;

private:
    static constexpr std::size_t largest_notice = 1400;

    void receive();
    void take(std::string_view datagram);

    boost::asio::ip::udp::socket socket;
    const listeners heard_by;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, largest_notice> buffer{};
};

} // namespace fireflysail
