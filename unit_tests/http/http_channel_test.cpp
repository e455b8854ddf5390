#include "http/http_channel.hpp"

#include "common/error.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

TEST_CASE("a call that is given up ends long before its deadline")
{
    // Connections are taken by the system; nobody ever answers.
    boost::asio::io_context io{1};
    const boost::asio::ip::tcp::acceptor silent{
        io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    http_channel channel{{"127.0.0.1", silent.local_endpoint().port()}};
    int looks = 0;
    const auto answer = channel.call(
        {"GET", "/watch", {}},
        1h,
        [&looks]
        {
            return ++looks == 2;
        });
    CHECK(answer.error() == errc::unknown_effect);
    CHECK(looks == 2);
}

TEST_CASE("a connection whose opening packet was dropped is tried again soon")
{
    // All instances start together: the listener's queue is full, and the
    // system would send the opening packet again only after a second.
    using boost::asio::ip::tcp;
    boost::asio::io_context io{1};
    tcp::acceptor listener{io};
    listener.open(tcp::v4());
    listener.bind({boost::asio::ip::make_address("127.0.0.1"), 0});
    listener.listen(0);
    const tcp::endpoint there = listener.local_endpoint();
    std::vector<tcp::socket> fillers;
    for (int i = 0; i < 3; ++i)
    {
        fillers.emplace_back(io);
        fillers.back().async_connect(
            there, [](const boost::system::error_code&) {});
    }
    io.run_for(50ms);
    std::thread server{
        [&listener, &fillers]
        {
            std::this_thread::sleep_for(250ms);
            fillers.clear();
            std::string request;
            while (request.empty())
            {
                tcp::socket accepted = listener.accept();
                boost::system::error_code ended;
                boost::asio::read_until(
                    accepted,
                    boost::asio::dynamic_buffer(request),
                    "\r\n\r\n",
                    ended);
                if (!request.empty())
                {
                    const std::string answer =
                        "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                    boost::asio::write(
                        accepted, boost::asio::buffer(answer), ended);
                }
            }
        }};
    http_channel channel{{"127.0.0.1", there.port()}};
    const auto answer = channel.call({"GET", "/list", {}}, 900ms);
    if (!answer)
    {
        // Lets the server end.
        http_channel last{{"127.0.0.1", there.port()}};
        CHECK(last.call({"GET", "/", {}}, 10s));
    }
    server.join();
    REQUIRE(answer);
    CHECK(answer.value().status == 200);
}

TEST_CASE("a call without a descriptor left fails, and the next one succeeds")
{
    boost::asio::io_context io{1};
    boost::asio::ip::tcp::acceptor listener{
        io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    http_channel channel{{"127.0.0.1", listener.local_endpoint().port()}};
    rlimit before{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    const int first_free = dup(STDERR_FILENO);
    REQUIRE(first_free > 0);
    close(first_free);
    rlimit none_left = before;
    none_left.rlim_cur = static_cast<rlim_t>(first_free);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none_left) == 0);
    const auto failed = channel.call({"GET", "/watch", {}}, 1s);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
    CHECK(failed.error() == errc::unavailable);

    std::thread server{
        [&listener]
        {
            auto accepted = listener.accept();
            std::string request;
            boost::asio::read_until(
                accepted, boost::asio::dynamic_buffer(request), "\r\n\r\n");
            const std::string answer =
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            boost::asio::write(accepted, boost::asio::buffer(answer));
        }};
    const auto answer = channel.call({"GET", "/watch", {}}, 10s);
    CHECK(answer);
    server.join();
}

namespace
{

/// Whether the local port of a connection to the store can be listened on.
bool can_share_port_of_connection()
{
    using boost::asio::ip::tcp;
    boost::asio::io_context io{1};
    const auto host = boost::asio::ip::make_address("127.0.0.1");
    tcp::acceptor silent{io, {host, 0}};
    http_channel channel{{"127.0.0.1", silent.local_endpoint().port()}};
    std::atomic<bool> given_up = false;
    std::thread caller{[&channel, &given_up]
                       {
                           const auto answer = channel.call(
                               {"GET", "/watch", {}},
                               1h,
                               [&given_up]
                               {
                                   return given_up.load();
                               });
                       }};
    tcp::socket accepted = silent.accept();
    std::string request;
    boost::asio::read_until(
        accepted, boost::asio::dynamic_buffer(request), "\r\n\r\n");
    boost::system::error_code failed;
    tcp::acceptor listener{io, tcp::v4()};
    listener.set_option(tcp::acceptor::reuse_address{true});
    const bool is_refused = static_cast<bool>(
        listener.bind({host, accepted.remote_endpoint().port()}, failed));
    given_up = true;
    caller.join();
    return !is_refused;
}

} // namespace

// Guards against a start that fails since a connection of this or another
// instance was given the port.
TEST_CASE("a local port of a connection to the store can be listened on")
{
    // Other processes may have connections from the same port. Each attempt
    // ends by being given up.
    constexpr int attempts = 20;
    bool shared = false;
    for (int attempt = 0; attempt < attempts && !shared; ++attempt)
    {
        shared = can_share_port_of_connection();
    }
    CHECK(shared);
}
