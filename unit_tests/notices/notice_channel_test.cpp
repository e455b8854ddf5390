#include "notices/notice_channel.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>

#include <catch2/catch.hpp>

#include <string_view>
#include <vector>

using namespace fireflysail;

namespace
{

const endpoint any_port{"127.0.0.1", 0};

} // namespace

TEST_CASE("a notice reaches the instances it is sent to")
{
    boost::asio::io_context io{1};
    std::vector<notice> heard;
    notice_channel hearer{
        io.get_executor(),
        [&heard](const notice& told)
        {
            heard.push_back(told);
        }};
    notice_channel teller{io.get_executor(), [](const notice&) {}};
    REQUIRE_FALSE(hearer.open(any_port));
    REQUIRE_FALSE(teller.open(any_port));
    const notice told{
        instance_id{"a"}, server_id{"engine-1"}, engine_news::unanswered};
    const std::vector receivers{hearer.address()};
    teller.send(told, receivers);
    CHECK(teller.counts.sent == 1);
    while (heard.empty())
    {
        io.run_one();
    }
    CHECK(heard == std::vector{told});
    CHECK(hearer.counts.received == 1);
}

TEST_CASE("a datagram that is no notice is counted and left out")
{
    boost::asio::io_context io{1};
    notice_channel hearer{
        io.get_executor(),
        [](const notice&)
        {
            FAIL("nothing was told");
        }};
    REQUIRE_FALSE(hearer.open(any_port));
    boost::asio::ip::udp::socket other{
        io, boost::asio::ip::udp::endpoint{boost::asio::ip::udp::v4(), 0}};
    constexpr std::string_view text = "no notice";
    other.send_to(
        boost::asio::buffer(text),
        {boost::asio::ip::make_address("127.0.0.1"),
         static_cast<unsigned short>(hearer.address().port)});
    while (hearer.counts.malformed == 0)
    {
        io.run_one();
    }
    CHECK(hearer.counts.received == 0);
}

TEST_CASE("a channel that is not open sends nothing")
{
    boost::asio::io_context io{1};
    notice_channel closed{io.get_executor(), [](const notice&) {}};
    CHECK(closed.open({"no address", 0}));
    const std::vector receivers{endpoint{"127.0.0.1", 9}};
    closed.send({}, receivers);
    CHECK(closed.counts.sent == 0);
    CHECK(closed.counts.unsent == 0);
}
