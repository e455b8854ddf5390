#include "relay/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const service_id desk{"desk"};

scripted_server::script always(const scripted_answer& answer)
{
    return [answer](std::size_t, const http_request&)
    {
        return answer;
    };
}

/// Nothing is ever sent.
scripted_answer silence()
{
    scripted_answer answer;
    answer.may_begin = []
    {
        return false;
    };
    return answer;
}

scripted_answer once(std::function<bool()> may_begin, scripted_answer answer)
{
    answer.may_begin = std::move(may_begin);
    return answer;
}

scripted_answer cut()
{
    return {"", true};
}

/// What the metrics say.
double value_of(const std::string& metrics, const std::string& name)
{
    const std::string line = "fireflysail_" + name + " ";
    const auto at = metrics.find(line);
    REQUIRE(at != std::string::npos);
    return std::stod(metrics.substr(at + line.size()));
}

/// A relay that has seen responses of a millisecond, and so sends a second copy
/// after a few. "home" is asked first, as it is in the own zone.
struct hedging_fixture : relay_fixture
{
    hedging_fixture()
    {
        this->node.hedge_limit = 0.2;
        this->prepare = [this](relay_context& relay)
        {
            this->train(relay);
        };
        this->inspect = [this](relay_context& relay)
        {
            this->metrics = relay.hedges.to_prometheus(this->time.now());
            this->held_bytes = relay.answers.size();
            this->in_flight = relay.servers.in_flight(server_id{"home"}) +
                              relay.servers.in_flight(server_id{"other"});
            this->pool = relay.pool.counts;
        };
    }

    void train(relay_context& relay) const
    {
        const time_point now = this->time.now();
        auto& state = relay.hedges.of(desk, now);
        for (int i = 0; i < this->samples; ++i)
        {
            state.policy.on_response(1ms);
        }
        const double copies = this->has_allowance ? 0 : 100'000;
        state.limit.set_fleet({100'000, copies}, now + 1h);
        set_instances(relay, 1);
    }

    received_answer ask_one(const std::string& path = "/safe/")
    {
        const auto answers = this->ask({get(path)});
        REQUIRE(answers.size() == 1);
        return answers.front();
    }

    int samples = 100;
    bool has_allowance = true;
    std::string metrics;
    std::size_t held_bytes = 0;
    std::uint32_t in_flight = 0;
    backend_pool_counts pool;
};

} // namespace

TEST_CASE_METHOD(
    hedging_fixture, "a quick second server answers for a slow one")
{
    auto& slow = this->add_desk("home", always(silence()));
    auto& quick = this->add_desk("other", always(whole_answer(200, "quick")));
    const auto answer = this->ask_one();
    CHECK(answer.status == 200);
    CHECK(answer.body == "quick");
    CHECK(slow.received.size() == 1);
    CHECK(quick.received.size() == 1);
    CHECK(value_of(this->metrics, "hedges_sent_total") == 1);
    CHECK(value_of(this->metrics, "hedges_ended_total{end=\"won\"}") == 1);
    CHECK(value_of(this->metrics, "hedge_share{service=\"desk\"}") > 0.5);
    CHECK(this->in_flight == 0);
    CHECK(this->held_bytes == 0);
}

// Guards against second copies without the setting, and of requests that may
// run only once.
TEST_CASE_METHOD(hedging_fixture, "what may not be copied is sent once")
{
    // The deadline ends the wait for the silent server.
    const std::string limit = "X-Fireflysail-Deadline-Ms: 100\r\n";
    std::string path = "/safe/";
    SECTION("without the setting")
    {
        this->node.hedge_limit = 0;
    }
    SECTION("a request that may run only once")
    {
        path = "/once/";
    }
    SECTION("as the route allows one attempt")
    {
        this->config->routes["shop.example"][0].most_attempts = 1;
    }
    SECTION("as the limit is spent")
    {
        this->has_allowance = false;
    }
    SECTION("as too little is known of the response times")
    {
        this->samples = 10;
    }
    this->add_desk("home", always(silence()));
    auto& other = this->add_desk("other", always(whole_answer(200, "done")));
    const auto answers = this->ask({get(path, limit)});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 504);
    CHECK(other.received.empty());
    CHECK(this->in_flight == 0);
}

TEST_CASE_METHOD(hedging_fixture, "a refused second copy is counted by reason")
{
    this->has_allowance = false;
    auto& other = this->add_desk("other", always(whole_answer(200, "done")));
    std::size_t polls = 0;
    this->add_desk(
        "home",
        always(once(
            [&polls]
            {
                return ++polls > 30;
            },
            whole_answer(200, "slow"))));
    CHECK(this->ask_one().body == "slow");
    CHECK(other.received.empty());
    CHECK(
        value_of(this->metrics, "hedges_not_sent_total{reason=\"limit\"}") ==
        1);
}

TEST_CASE_METHOD(hedging_fixture, "a stopping instance sends no second copy")
{
    this->stopping_for = 1s;
    auto& other = this->add_desk("other", always(whole_answer(200, "done")));
    std::size_t polls = 0;
    this->add_desk(
        "home",
        always(once(
            [&polls]
            {
                return ++polls > 30;
            },
            whole_answer(200, "slow"))));
    const auto answers =
        this->ask({get("/safe/", "X-Fireflysail-Deadline-Ms: 3000\r\n")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].body == "slow");
    CHECK(other.received.empty());
    CHECK(
        value_of(this->metrics, "hedges_not_sent_total{reason=\"stopping\"}") ==
        1);
}

// Guards against bytes of two answers, and against the late one on a connection
// that another request uses.
TEST_CASE_METHOD(
    hedging_fixture, "of two answers at once one reaches the caller")
{
    const bool first_is_large = GENERATE(false, true);
    const std::string large(200'000, 'a');
    const std::string other_large(200'000, 'b');
    scripted_server* second = nullptr;
    auto& home = this->add_desk(
        "home",
        always(once(
            [&second]
            {
                return !second->received.empty();
            },
            whole_answer(200, first_is_large ? large : "a"))));
    second = &this->add_desk(
        "other", always(whole_answer(200, first_is_large ? other_large : "b")));
    const auto answers =
        this->ask({get("/safe/"), get("/safe/"), get("/safe/")});
    REQUIRE(answers.size() == 3);
    for (const auto& answer : answers)
    {
        CHECK(answer.whole);
        CHECK(answer.status == 200);
        REQUIRE_FALSE(answer.body.empty());
        CHECK(
            answer.body.find_first_not_of(answer.body.front()) ==
            std::string::npos);
    }
    CHECK(home.received.size() + second->received.size() >= 4);
    CHECK(value_of(this->metrics, "hedges_sent_total") >= 1);
    CHECK(this->in_flight == 0);
    CHECK(this->held_bytes == 0);
}

// Guards against the answer of a cancelled copy that reaches a later request.
TEST_CASE_METHOD(
    hedging_fixture, "the late answer of a cancelled copy reaches nobody")
{
    scripted_server* second = nullptr;
    scripted_server* first = nullptr;
    first = &this->add_desk(
        "home",
        [&first, &second](std::size_t number, const http_request&)
        {
            auto late = whole_answer(200, "late");
            // The first request is answered once the second one is there.
            late.may_begin = [&first, &second, number]
            {
                return number > 0 ||
                       first->received.size() + second->received.size() > 2;
            };
            return late;
        });
    second = &this->add_desk("other", always(whole_answer(200, "quick")));
    const auto answers = this->ask({get("/safe/"), get("/once/")});
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].body == "quick");
    CHECK(answers[1].status == 200);
    // The cancelled copy's connection carried no other request.
    CHECK(first->accepted == first->received.size());
    CHECK(this->pool.failed == 0);
}

TEST_CASE_METHOD(
    hedging_fixture, "the second copy is awaited after the first one failed")
{
    scripted_server* first = nullptr;
    scripted_server* second = nullptr;
    const auto failure = GENERATE(0, 1, 2);
    const scripted_answer end = failure == 0   ? cut()
                                : failure == 1 ? refusal()
                                               : whole_answer(500, "error");
    first = &this->add_desk(
        "home",
        always(once(
            [&second]
            {
                return !second->received.empty();
            },
            end)));
    std::size_t polls = 0;
    second = &this->add_desk(
        "other",
        always(once(
            [&polls]
            {
                return ++polls > 30;
            },
            whole_answer(200, "done"))));
    CHECK(this->ask_one().body == "done");
    CHECK(first->received.size() == 1);
    CHECK(second->received.size() == 1);
    CHECK(value_of(this->metrics, "hedges_ended_total{end=\"won\"}") == 1);
}

TEST_CASE_METHOD(
    hedging_fixture, "the first copy is awaited after the second one failed")
{
    std::size_t polls = 0;
    this->add_desk(
        "home",
        always(once(
            [&polls]
            {
                return ++polls > 50;
            },
            whole_answer(200, "slow"))));
    auto& second = this->add_desk(
        "other", always(GENERATE(0, 1) == 0 ? cut() : refusal()));
    CHECK(this->ask_one().body == "slow");
    CHECK(second.received.size() == 1);
    CHECK(value_of(this->metrics, "hedges_ended_total{end=\"lost\"}") == 1);
}

// Both copies of a long upload are written while the second one is answered.
TEST_CASE_METHOD(
    hedging_fixture, "a broken answer to the second copy is not delivered")
{
    constexpr std::size_t upload_bytes = std::size_t{6} * 1024 * 1024;
    this->config->limits.body = byte_count{2 * upload_bytes};
    const std::string fields = "X-Fireflysail-Attempt-Id: ID\r\n"
                               "X-Fireflysail-Server-Stamp: stamp\r\n";
    scripted_answer broken;
    broken.bytes = GENERATE_COPY(
        "HTTP/1.1 200 OK\r\n" + fields + "\r\npart",
        "HTTP/1.1 000 X\r\n" + fields + "\r\nwhole",
        "HTTP/1.1 200 OK\r\n" + fields + " Content-Length: 5\r\n\r\nwhole",
        "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + fields + "\r\nwhole");
    broken.closes = true;
    broken.resets = true;
    broken.pause = 10ms;
    std::size_t polls = 0;
    this->add_desk(
        "home",
        always(once(
            [&polls]
            {
                return ++polls > 50;
            },
            whole_answer(200, "slow"))));
    auto& second = this->add_desk("other", always(broken));
    second.answers_early = true;
    std::string request = get(
        "/safe/", "Content-Length: " + std::to_string(upload_bytes) + "\r\n");
    request.replace(0, 3, "POST");
    const auto answers = this->ask({request + std::string(upload_bytes, 'u')});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 200);
    CHECK(answers[0].body == "slow");
    CHECK(second.received.size() == 1);
    CHECK(value_of(this->metrics, "hedges_ended_total{end=\"lost\"}") == 1);
}

// Guards against "nothing ran" for a request that one server may have run.
TEST_CASE_METHOD(hedging_fixture, "two copies that fail say what is known")
{
    scripted_server* second = nullptr;
    const auto is_second_asked = [&second]
    {
        return !second->received.empty();
    };
    SECTION("both refuse: nothing ran")
    {
        this->add_desk("home", always(once(is_second_asked, refusal())));
        second = &this->add_desk("other", always(refusal()));
        CHECK(this->ask_one().status == 503);
    }
    SECTION("the first refuses and the second breaks")
    {
        this->add_desk("home", always(once(is_second_asked, refusal())));
        second = &this->add_desk("other", always(cut()));
        CHECK(this->ask_one().status == 502);
    }
    SECTION("the first breaks and the second refuses")
    {
        this->add_desk("home", always(once(is_second_asked, cut())));
        second = &this->add_desk("other", always(refusal()));
        CHECK(this->ask_one().status == 502);
    }
    CHECK(second->received.size() == 1);
    CHECK(value_of(this->metrics, "hedges_ended_total{end=\"lost\"}") == 1);
    CHECK(this->in_flight == 0);
}

// Guards against a third attempt where the route allows two.
TEST_CASE_METHOD(hedging_fixture, "both copies count as attempts")
{
    scripted_server* second = nullptr;
    this->add_desk(
        "home",
        always(once(
            [&second]
            {
                return !second->received.empty();
            },
            cut())));
    second = &this->add_desk("other", always(cut()));
    auto& third = this->add_desk("third", always(whole_answer(200, "done")));
    const auto answers = this->ask({get("/safe/")});
    REQUIRE(answers.size() == 1);
    CHECK(second->received.size() + third.received.size() == 1);
}

// Guards against copies that go on, or use what the exchange held, after the
// caller has left.
TEST_CASE_METHOD(hedging_fixture, "both copies end when the caller leaves")
{
    auto& first = this->add_desk("home", always(silence()));
    auto& second = this->add_desk(
        "other",
        [this](std::size_t, const http_request&)
        {
            this->leave();
            return silence();
        });
    this->ask({get("/safe/")});
    CHECK(first.received.size() == 1);
    CHECK(second.received.size() == 1);
    CHECK(
        value_of(this->metrics, "hedges_ended_total{end=\"cancelled\"}") == 1);
    CHECK(this->in_flight == 0);
    CHECK(this->held_bytes == 0);
}

// Guards against a copy that is started, connects or is answered while the
// other one ends.
TEST_CASE_METHOD(hedging_fixture, "the caller may leave at any moment")
{
    const std::size_t leaves_at = GENERATE(range(1, 12));
    std::size_t polls = 0;
    this->add_desk(
        "home",
        always(once(
            [this, &polls, leaves_at]
            {
                if (++polls == leaves_at)
                {
                    this->leave();
                }
                return false;
            },
            {})));
    this->add_desk("other", always(silence()));
    this->ask({get("/safe/")});
    CHECK(polls >= leaves_at);
    CHECK(this->in_flight == 0);
    CHECK(this->held_bytes == 0);
}

TEST_CASE_METHOD(hedging_fixture, "both copies end at the deadline")
{
    this->add_desk("home", always(silence()));
    auto& second = this->add_desk("other", always(silence()));
    const auto answers =
        this->ask({get("/safe/", "X-Fireflysail-Deadline-Ms: 100\r\n")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 504);
    CHECK(second.received.size() == 1);
    CHECK(this->in_flight == 0);
}

// Guards against second copies that add to the load of a full server.
TEST_CASE_METHOD(hedging_fixture, "no second copy goes to a full server")
{
    this->prepare = [this](relay_context& relay)
    {
        this->train(relay);
        relay.servers.on_load(server_id{"other"}, 6, 0, this->time.now() + 1h);
    };
    std::size_t polls = 0;
    this->add_desk(
        "home",
        always(once(
            [&polls]
            {
                return ++polls > 30;
            },
            whole_answer(200, "slow"))));
    auto& other = this->add_desk("other", always(whole_answer(200, "done")));
    CHECK(this->ask_one().body == "slow");
    CHECK(other.received.empty());
    CHECK(
        value_of(this->metrics, "hedges_not_sent_total{reason=\"no_room\"}") ==
        1);
}

// A cancelled copy is neither a success nor a failure of its server.
TEST_CASE_METHOD(
    hedging_fixture, "a cancelled copy does not change the balance")
{
    std::optional<duration> response;
    const server_id home{"home"};
    this->inspect = [&response, &home](relay_context& relay)
    {
        response = relay.servers.response_time(home);
    };
    auto& slow = this->add_desk("home", always(silence()));
    auto& quick = this->add_desk("other", always(whole_answer(200, "quick")));
    const auto answers = this->ask({get("/safe/"), get("/safe/")});
    REQUIRE(answers.size() == 2);
    CHECK(answers[1].body == "quick");
    CHECK_FALSE(response.has_value());
    // With a failure counted, the second request would avoid its own zone.
    CHECK(slow.received.size() == 2);
    CHECK(quick.received.size() == 2);
}

// Guards against answers that are held beyond their request.
TEST_CASE_METHOD(hedging_fixture, "each copy accounts for its own answer")
{
    const std::string part(50'000, 'x');
    scripted_answer begun;
    begun.bytes = "HTTP/1.1 200 OK\r\nX-Fireflysail-Attempt-Id: ID\r\n"
                  "X-Fireflysail-Server-Stamp: s\r\n"
                  "Content-Length: 100000\r\n\r\n" +
                  part;
    this->add_desk("home", always(begun));
    this->add_desk("other", always(whole_answer(200, "quick")));
    CHECK(this->ask_one().body == "quick");
    CHECK(this->held_bytes == 0);
}
