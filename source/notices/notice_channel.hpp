#pragma once

#include "blackboard/fleet.hpp"
#include "notices/notice.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <system_error>

namespace fireflysail
{

/// Carries notices among instances as datagrams, one each. Sends never wait:
/// what the socket does not take at once is lost. Used on the executor's
/// thread.
class notice_channel
{
public:
    struct counters
    {
        std::uint64_t sent = 0;
        std::uint64_t unsent = 0;
        std::uint64_t received = 0;
        /// Not a notice.
        std::uint64_t malformed = 0;
    };

    notice_channel(
        boost::asio::any_io_executor executor,
        std::function<void(const notice&)> receiver);

    notice_channel(const notice_channel&) = delete;
    notice_channel& operator=(const notice_channel&) = delete;

    /// Begins to receive at `address`; the error if that cannot be had.
    std::error_code open(const endpoint& address);

    /// Nothing happens while the channel is not open.
    void send(const notice& told, std::span<const endpoint> receivers);

    /// Address in use, for receivers on a port that the system chose.
    endpoint address() const;

    counters counts;

private:
    static constexpr std::size_t largest_notice = 1024;

    void receive();

    boost::asio::ip::udp::socket socket;
    const std::function<void(const notice&)> receiver;
    boost::asio::ip::udp::endpoint sender;
    std::array<char, largest_notice> buffer{};
};

} // namespace fireflysail
