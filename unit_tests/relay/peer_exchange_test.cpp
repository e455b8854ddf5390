#include "relay/relay_fixture.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

using numbered = std::size_t;

/// An instance that reaches none of its backend servers, and its peers.
class cut_off_fixture : public relay_fixture
{
public:
    cut_off_fixture()
    {
        this->prepare = [this](relay_context& relay)
        {
            relay.peers.set_peers(
                std::make_shared<std::vector<peer_instance>>(this->known));
        };
        this->inspect = [this](relay_context& relay)
        {
            this->is_cut_off = relay.reach.is_cut_off();
            this->passed_on = relay.passed_on;
        };
    }

    /// Servers for the requests to `path`, none of which can be reached.
    void add_lost_servers(const std::string& path)
    {
        for (const std::string id : {"lost-1", "lost-2"})
        {
            this->refuse_connections(this->add(
                path,
                id,
                [](numbered, const http_request&)
                {
                    return whole_answer(200, "unexpected");
                }));
        }
    }

    /// Stops the server and keeps its port, which another process could get.
    void refuse_connections(scripted_server& server)
    {
        const auto port = static_cast<unsigned short>(server.address().port);
        server.stop();
        const tcp::endpoint address{asio::ip::make_address("127.0.0.1"), port};
        auto& kept = this->kept_ports.emplace_back(this->io);
        kept.open(address.protocol());
        kept.bind(address);
    }

    scripted_server& add_peer(scripted_server::script script)
    {
        this->peers.push_back(
            std::make_unique<scripted_server>(this->io, std::move(script)));
        this->known.push_back(
            {instance_id{fmt::format("entry-{}", this->known.size() + 2)},
             this->peers.back()->address()});
        return *this->peers.back();
    }

    /// Requests that all peers got.
    std::size_t received_by_peers() const
    {
        std::size_t sum = 0;
        for (const auto& peer : this->peers)
        {
            sum += peer->received.size();
        }
        return sum;
    }

    std::vector<std::unique_ptr<scripted_server>> peers;
    std::vector<tcp::socket> kept_ports;
    std::vector<peer_instance> known;
    bool is_cut_off = false;
    std::uint64_t passed_on = 0;
};

scripted_answer serve_whole(numbered, const http_request&)
{
    return whole_answer(200, "by a peer");
}

/// What an instance answers itself, without a server's stamp.
scripted_answer own_answer_of(const std::string& status)
{
    scripted_answer answer;
    answer.bytes = "HTTP/1.1 " + status +
                   "\r\nX-Fireflysail-Attempt-Id: ID\r\n"
                   "Retry-After: 0.70\r\nContent-Length: 2\r\n\r\nno";
    return answer;
}

scripted_answer break_off(numbered, const http_request&)
{
    scripted_answer answer;
    answer.closes = true;
    return answer;
}

const std::string stream_header =
    "HTTP/1.1 200 OK\r\nX-Fireflysail-Attempt-Id: ID\r\n"
    "X-Fireflysail-Server-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk_of(const std::string& bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

} // namespace

TEST_CASE_METHOD(
    cut_off_fixture, "a cut-off instance has its requests served by a peer")
{
    const std::string path = GENERATE("/safe/", "/once/");
    this->add_lost_servers(path);
    scripted_server& peer = this->add_peer(serve_whole);
    const std::string request =
        "POST " + path +
        "a?b HTTP/1.1\r\nHost: shop.example\r\n"
        "X-Fireflysail-Attempt-Id: 9c41\r\nAuthorization: Bearer key\r\n"
        "X-Fireflysail-Deadline-Ms: 3000\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
        "X-Kept: 2\r\nContent-Length: 4\r\n\r\nbody";
    const auto answers = this->ask({request, request});
    REQUIRE(answers.size() == 2);
    for (const auto& answer : answers)
    {
        CHECK(answer.whole);
        CHECK(answer.status == 200);
        CHECK(answer.body == "by a peer");
        CHECK(answer.header["X-Fireflysail-Server-Stamp"] == "stamp");
    }
    CHECK(this->is_cut_off);
    CHECK(this->passed_on == 2);
    REQUIRE(peer.received.size() == 2);
    const http_request& got = peer.received.front();
    CHECK(got.method_string() == "POST");
    CHECK(got.target() == path + "a?b");
    CHECK(got.body() == "body");
    CHECK(got["Authorization"] == "Bearer key");
    CHECK(got["X-Fireflysail-Attempt-Id"] == "9c41");
    CHECK(got["X-Kept"] == "2");
    CHECK(got.count("X-Hop") == 0);
    // What was spent on finding out is no longer there.
    const int time_left =
        std::stoi(std::string{got["X-Fireflysail-Deadline-Ms"]});
    CHECK(time_left > 0);
    CHECK(time_left < 3000);
}

TEST_CASE_METHOD(
    cut_off_fixture, "a stream is forwarded from a peer as it comes")
{
    this->add_lost_servers("/stream/");
    const bool ends = GENERATE(true, false);
    const std::string first = "id: 1\ndata: x\n\n";
    const std::string second = "id: 2\ndata: y\n\n";
    scripted_server& peer = this->add_peer(
        [&](numbered, const http_request&)
        {
            scripted_answer answer;
            answer.bytes = stream_header + chunk_of(first);
            if (ends)
            {
                answer.pieces = {chunk_of(second), "0\r\n\r\n"};
            }
            else
            {
                answer.bytes += chunk_of(second);
                answer.closes = true;
            }
            answer.pause = 5ms;
            return answer;
        });
    const auto answers = this->ask({get("/stream/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 200);
    CHECK(answers.front().body == first + second);
    CHECK(answers.front().whole == ends);
    CHECK(peer.received.size() == 1);
}

TEST_CASE_METHOD(
    cut_off_fixture, "a request that one peer refuses is served by another")
{
    const std::string path = GENERATE("/safe/", "/once/", "/stream/");
    const std::string status =
        GENERATE("503 Service Unavailable", "404 Not Found");
    this->add_lost_servers(path);
    std::size_t refusals = 0;
    // Whichever is asked first refuses.
    const auto script = [&](numbered, const http_request&)
    {
        return refusals++ == 0 ? own_answer_of(status)
                               : whole_answer(200, "by a peer");
    };
    this->add_peer(script);
    this->add_peer(script);
    const auto answers = this->ask({get(path)});
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 200);
    CHECK(answers.front().body == "by a peer");
    CHECK(this->received_by_peers() == 2);
}

TEST_CASE_METHOD(cut_off_fixture, "a request that all peers refuse has not run")
{
    this->add_lost_servers("/once/");
    for (int i = 0; i < 5; ++i)
    {
        this->add_peer(
            [](numbered, const http_request&)
            {
                return own_answer_of("503 Service Unavailable");
            });
    }
    const auto answers = this->ask({get("/once/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 503);
    CHECK(answers.front().header["Retry-After"] == "0.70");
    CHECK(this->received_by_peers() == 3);
}

TEST_CASE_METHOD(
    cut_off_fixture, "a request that may have run goes to no second peer")
{
    const bool is_unsure = GENERATE(false, true);
    this->add_lost_servers("/once/");
    for (int i = 0; i < 3; ++i)
    {
        this->add_peer(
            [is_unsure](numbered number, const http_request& request)
            {
                return is_unsure ? own_answer_of("502 Bad Gateway")
                                 : break_off(number, request);
            });
    }
    const auto answers = this->ask({get("/once/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 502);
    CHECK(this->received_by_peers() == 1);
}

TEST_CASE_METHOD(
    cut_off_fixture, "a request that may run again goes to a second peer")
{
    this->add_lost_servers("/safe/");
    for (int i = 0; i < 3; ++i)
    {
        this->add_peer(break_off);
    }
    const auto answers = this->ask({get("/safe/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 502);
    CHECK(this->received_by_peers() == 2);
}

TEST_CASE_METHOD(cut_off_fixture, "a peer that has stopped is passed over")
{
    this->add_lost_servers("/once/");
    this->refuse_connections(this->add_peer(serve_whole));
    this->refuse_connections(this->add_peer(serve_whole));
    this->add_peer(serve_whole);
    const auto answers = this->ask({get("/once/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 200);
}

TEST_CASE_METHOD(
    cut_off_fixture, "requests of another instance are not passed on again")
{
    const std::string path = GENERATE("/safe/", "/stream/");
    this->add_lost_servers(path);
    this->add_peer(serve_whole);
    this->source = request_source::peer;
    const auto answers = this->ask({get(path), get(path)});
    REQUIRE(answers.size() == 2);
    CHECK(answers.front().status == 503);
    CHECK(answers.back().status == 503);
    CHECK(this->received_by_peers() == 0);
}

TEST_CASE_METHOD(
    cut_off_fixture,
    "a request of another instance does not wait for the verdict on the links")
{
    const std::string path = GENERATE("/safe/", "/stream/");
    this->add_lost_servers(path);
    this->source = request_source::peer;
    bool is_in_doubt = false;
    this->inspect = [&](relay_context& relay)
    {
        is_in_doubt = relay.reach.is_in_doubt();
    };
    const auto answers = this->ask({get(path)});
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 503);
    CHECK(is_in_doubt);
}

TEST_CASE_METHOD(
    cut_off_fixture, "a failure of some servers sends nothing to peers")
{
    this->add_lost_servers("/safe/");
    this->add_peer(serve_whole);
    // Not one for the request.
    this->add_engine(
        "sound",
        [](numbered, const http_request&)
        {
            return whole_answer(200, "unexpected");
        });
    const auto answers = this->ask({get("/safe/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers.front().status == 503);
    CHECK_FALSE(this->is_cut_off);
    CHECK(this->received_by_peers() == 0);
}

TEST_CASE_METHOD(
    cut_off_fixture, "the peer sees its caller leave with the own one")
{
    this->add_lost_servers("/stream/");
    scripted_server& peer = this->add_peer(
        [](numbered, const http_request&)
        {
            scripted_answer answer;
            answer.bytes = stream_header + chunk_of("id: 1\ndata: x\n\n");
            answer.hangs = true;
            return answer;
        });
    asio::steady_timer leaves{this->io, 900ms};
    leaves.async_wait(
        [this](io_error)
        {
            this->leave();
        });
    std::size_t open_at_end = 1;
    this->inspect = [&](relay_context&)
    {
        open_at_end = peer.open_connections();
    };
    const auto answers = this->ask({get("/stream/")});
    REQUIRE(peer.received.size() == 1);
    CHECK(open_at_end == 0);
}
