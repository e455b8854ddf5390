#include "store/http_channel.hpp"

#include "common/error.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <catch2/catch.hpp>

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
