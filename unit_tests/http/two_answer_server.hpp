#pragma once

#include "blackboard/fleet.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <thread>

namespace fireflysail
{

/// A server that answers the first request with some bytes, ends the connection
/// and answers the next request soundly.
class two_answer_server
{
public:
    /// `resets` tells how the first connection ends.
    two_answer_server(std::string first, bool resets);
    ~two_answer_server();

    two_answer_server(const two_answer_server&) = delete;
    two_answer_server& operator=(const two_answer_server&) = delete;

    endpoint address() const;

private:
    using tcp = boost::asio::ip::tcp;

    void run();

    boost::asio::io_context io{1};
    tcp::acceptor listener{io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    const std::string first;
    const bool resets;
    std::thread thread;
};

} // namespace fireflysail
