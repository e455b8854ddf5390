#include "common/error.hpp"
#include "http/http_channel.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <thread>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

using boost::asio::ip::tcp;

/// A server that answers the first request with some bytes, resets the
/// connection if it is to, and answers the next one soundly.
class two_answer_server
{
public:
    two_answer_server(std::string first, bool resets)
        : first{std::move(first)}
        , resets{resets}
        , thread{[this]
                 {
                     this->run();
                 }}
    {
    }

    ~two_answer_server()
    {
        // Ends the wait for a request that was not sent.
        boost::asio::io_context context{1};
        tcp::socket last{context};
        boost::system::error_code ignored;
        last.connect(this->listener.local_endpoint(), ignored);
        last.close(ignored);
        this->thread.join();
    }

    two_answer_server(const two_answer_server&) = delete;
    two_answer_server& operator=(const two_answer_server&) = delete;

    endpoint address() const
    {
        return {"127.0.0.1", this->listener.local_endpoint().port()};
    }

private:
    void run()
    {
        tcp::socket faulty = this->listener.accept();
        this->answer(faulty, this->first);
        if (this->resets)
        {
            faulty.set_option(boost::asio::socket_base::linger{true, 0});
            faulty.close();
        }
        else
        {
            boost::system::error_code ended;
            faulty.shutdown(tcp::socket::shutdown_send, ended);
        }
        tcp::socket sound = this->listener.accept();
        this->answer(
            sound, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound");
    }

    static void answer(tcp::socket& socket, const std::string& bytes)
    {
        std::string request;
        boost::system::error_code ended;
        boost::asio::read_until(
            socket, boost::asio::dynamic_buffer(request), "\r\n\r\n", ended);
        boost::asio::write(socket, boost::asio::buffer(bytes), ended);
    }

    boost::asio::io_context io{1};
    tcp::acceptor listener{io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    const std::string first;
    const bool resets;
    std::thread thread;
};

void check_refused(const std::string& bytes, bool resets)
{
    CAPTURE(bytes, resets);
    const two_answer_server server{bytes, resets};
    http_channel channel{server.address()};
    const auto refused = channel.call({"POST", "/orders", "{}"}, 10s);
    // It may have taken effect.
    CHECK((!refused && refused.error() == errc::unknown_effect));
    const auto sound = channel.call({"GET", "/list", {}}, 10s);
    REQUIRE(sound);
    CHECK(sound.value().status == 200);
    CHECK(sound.value().body == "sound");
}

} // namespace

TEST_CASE("an answer to a call whose status is below 100 is refused")
{
    const std::string status = GENERATE("000", "042", "099");
    const std::string rest = GENERATE(
        "Content-Length: 0\r\n\r\n",
        "Content-Length: 2\r\n\r\n{}",
        "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "\r\n{}");
    const std::string before = GENERATE("", "HTTP/1.1 100 Continue\r\n\r\n");
    check_refused(before + "HTTP/1.1 " + status + " X\r\n" + rest, false);
}

TEST_CASE("an answer to a call with a malformed field name is refused")
{
    using namespace std::string_literals;
    const std::string line = GENERATE(
        " X-Odd: 1"s,
        "\tContent-Length: 1"s,
        "X-Odd : 1"s,
        "X Odd:"s,
        "X\0Odd: 1"s,
        "X\nOdd: 1"s,
        "Content-Length : 1"s);
    const bool is_first = GENERATE(true, false);
    const std::string head =
        is_first
            ? "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 2\r\n\r\n"
            : "HTTP/1.1 200 OK\r\nX-Other: 1\r\n" + line + "\r\n\r\n";
    check_refused(head + "{}", false);
}

TEST_CASE("an answer to a call that is reset is refused")
{
    const std::string bytes = GENERATE(
        "",
        "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n");
    check_refused(bytes, true);
}

TEST_CASE("an answer to a call follows interim ones")
{
    const std::string interim = GENERATE(
        "HTTP/1.1 100 Continue\r\n\r\n",
        "HTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
    const std::string rest = GENERATE(
        "Content-Length: 2\r\n\r\n{}",
        "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
        "\r\n{}");
    const two_answer_server server{
        interim + "HTTP/1.1 201 OK\r\n" + rest, false};
    http_channel channel{server.address()};
    const auto answer = channel.call({"POST", "/orders", "{}"}, 10s);
    REQUIRE(answer);
    CHECK(answer.value().status == 201);
    CHECK(answer.value().body == "{}");
}
