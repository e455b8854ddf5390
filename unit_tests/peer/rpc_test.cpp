#include "common/error.hpp"
#include "http/two_answer_server.hpp"
#include "peer/json_rpc/json_rpc_connection.hpp"
#include "peer/peer_dispatcher.hpp"
#include "peer/rpc_client.hpp"
#include "peer/rpc_server.hpp"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

constexpr auto generous = 20000ms;

const peer_keys test_keys{{"a key of the tests"}};

/// A server that counts the calls that reached its handlers.
struct peer_under_test
{
    peer_under_test()
    {
        this->dispatcher.add(
            peer_method::gossip,
            [this](std::string_view params) -> result<std::string>
            {
                ++this->calls;
                return std::string{params};
            });
        this->dispatcher.add(
            peer_method::claim_inquiry,
            [this](std::string_view) -> result<std::string>
            {
                ++this->calls;
                return make_error_code(errc::not_found);
            });
        this->start({"127.0.0.1", 0});
    }

    void start(const endpoint& listen)
    {
        this->server.reset();
        this->server = rpc_server::start(
                           {listen, {"127.0.0.1", listen.port}, 2, 64},
                           test_keys,
                           this->dispatcher)
                           .value();
    }

    peer_dispatcher dispatcher;
    std::atomic<int> calls{0};
    std::unique_ptr<rpc_server> server;
};

/// Accepts connections in its backlog and never answers.
class silent_listener
{
public:
    silent_listener()
        : socket{::socket(AF_INET, SOCK_STREAM, 0)}
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        socklen_t size = sizeof(address);
        REQUIRE(::bind(this->socket, generic, size) == 0);
        REQUIRE(::listen(this->socket, 8) == 0);
        REQUIRE(::getsockname(this->socket, generic, &size) == 0);
        this->port = ntohs(address.sin_port);
    }

    ~silent_listener()
    {
        ::close(this->socket);
    }

    silent_listener(const silent_listener&) = delete;
    silent_listener& operator=(const silent_listener&) = delete;

    int socket;
    int port = 0;
};

} // namespace

TEST_CASE("a call carries its parameters and result between two peers")
{
    peer_under_test peer;
    rpc_client client{instance_id{"a"}, test_keys};
    const endpoint to = peer.server->address();
    const auto answer =
        client.call(to, "gossip", R"({"n":18446744073709551615})", generous);
    REQUIRE(answer.has_value());
    CHECK(answer.value() == R"({"n":18446744073709551615})");
    CHECK(client.call(to, "gossip", "{}", generous).value() == "{}");
    CHECK(peer.calls == 2);
    CHECK(client.counts().calls == 2);
}

TEST_CASE("a handler's error reaches the caller as it was")
{
    peer_under_test peer;
    rpc_client client{instance_id{"a"}, test_keys};
    const auto answer =
        client.call(peer.server->address(), "claim_inquiry", "{}", generous);
    REQUIRE(answer.has_error());
    CHECK(answer.error() == errc::not_found);
    CHECK(
        client.call(peer.server->address(), "gossip", "not json", generous)
            .error() == errc::invalid_argument);
    CHECK(client.call(peer.server->address(), "no method", "{}", generous)
              .has_error());
    CHECK(peer.calls == 1);
}

TEST_CASE("a caller with another key reaches no handler")
{
    peer_under_test peer;
    rpc_client stranger{instance_id{"a"}, {{"another key"}}};
    const auto answer =
        stranger.call(peer.server->address(), "gossip", "{}", generous);
    REQUIRE(answer.has_error());
    CHECK(answer.error() == errc::forbidden);
    CHECK(peer.calls == 0);
    CHECK(peer.server->counts().not_authentic == 2);
}

TEST_CASE("a message that is sent again reaches no handler again")
{
    peer_under_test peer;
    const endpoint to = peer.server->address();
    const message_authenticator authenticator{test_keys};
    json_rpc_connection connection{to.host, to.port};
    std::string session;
    std::uint64_t sequence = 1;
    const auto send = [&]
    {
        json_rpc_signing signing;
        signing.sign = [&](const std::string& body)
        {
            return authenticator.sign_request(
                {"a", sequence}, to, session, body);
        };
        signing.verify = [](const std::string&, const std::string&)
        {
            return true;
        };
        return connection.call("gossip", "{}", generous.count(), signing);
    };
    const json_rpc_outcome refusal = send();
    REQUIRE(refusal.status == json_rpc_status::refused);
    session = refusal.text;
    CHECK(send().status == json_rpc_status::answered);
    CHECK(send().status == json_rpc_status::no_answer);
    CHECK(peer.calls == 1);
    CHECK(peer.server->counts().replayed == 1);
    sequence = 2;
    CHECK(send().status == json_rpc_status::answered);
}

TEST_CASE("a client goes on with a peer that restarted at its address")
{
    peer_under_test peer;
    rpc_client client{instance_id{"a"}, test_keys};
    const endpoint to = peer.server->address();
    REQUIRE(client.call(to, "gossip", "{}", generous).has_value());
    peer.start(to);
    CHECK(client.call(to, "gossip", "{}", generous).has_value());
    CHECK(peer.calls == 2);
}

TEST_CASE("no listener, no answer and a bad answer are told apart")
{
    rpc_client client{instance_id{"a"}, test_keys};
    int closed_port = 0;
    {
        const silent_listener closed;
        closed_port = closed.port;
    }
    CHECK(
        client.call({"127.0.0.1", closed_port}, "gossip", "{}", generous)
            .error() == errc::unavailable);
    const silent_listener silent;
    CHECK(
        client.call({"127.0.0.1", silent.port}, "gossip", "{}", 50ms).error() ==
        errc::unknown_effect);
}

TEST_CASE("an address that is taken is an error, not an end of the process")
{
    peer_under_test peer;
    const auto second = rpc_server::start(
        {peer.server->address(), peer.server->address()},
        test_keys,
        peer.dispatcher);
    REQUIRE(second.has_error());
    CHECK(second.error() == errc::unavailable);
}

TEST_CASE("many threads call many peers at once")
{
    std::vector<std::unique_ptr<peer_under_test>> peers;
    for (int i = 0; i < 4; ++i)
    {
        peers.push_back(std::make_unique<peer_under_test>());
    }
    rpc_client client{instance_id{"a"}, test_keys};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    for (int t = 0; t < 8; ++t)
    {
        threads.emplace_back(
            [&]
            {
                for (int i = 0; i < 50; ++i)
                {
                    const auto& peer = peers[static_cast<std::size_t>(i) % 4];
                    const auto answer = client.call(
                        peer->server->address(), "gossip", "{}", generous);
                    answered += answer.has_value() ? 1 : 0;
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    CHECK(answered == 400);
}

// The HTTP library takes such heads; the signature of the body is what counts.
TEST_CASE("an answer of a peer that is malformed or reset is none")
{
    using namespace std::string_literals;
    const std::string head = GENERATE(
        "HTTP/1.1 200 OK\r\n"s,
        "HTTP/1.1 000 X\r\n"s,
        "HTTP/1.1 200 OK\r\nX Odd: 1\r\n"s,
        "HTTP/1.1 200 OK\r\nX-Peer-Auth : 1\r\n"s,
        "HTTP/1.1 200 OK\r\nX\x7f: 1\r\n"s);
    const std::string length =
        GENERATE("", "Content-Length: 36\r\n", "Content-Length: 40\r\n");
    const bool resets = GENERATE(true, false);
    CAPTURE(head, length, resets);
    const two_answer_server server{
        head + "X-Peer-Auth: 1\r\n" + length +
            "\r\n{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":{}}",
        resets};
    rpc_client client{instance_id{"one"}, test_keys};
    const auto outcome =
        client.call(server.address(), "gossip", "{}", generous);
    CHECK(
        (!outcome && (outcome.error() == errc::malformed ||
                      outcome.error() == errc::unknown_effect)));
}
