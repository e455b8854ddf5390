#include "store/http_store.hpp"

#include "http/two_answer_server.hpp"
#include "one_answer_server.hpp"
#include "store_server.hpp"

#include <catch2/catch.hpp>

#include <future>

using namespace fireflysail;
using namespace std::chrono_literals;

namespace
{

const object_key odd_name{"plan", "caf\xc3\xa9 / 50%+x?#"};

http_store_options local(int port)
{
    http_store_options options;
    options.host = "127.0.0.1";
    options.port = port;
    return options;
}

struct fixture
{
    fixture()
    {
        REQUIRE(this->server.start());
        this->client.emplace(local(this->server.port()), this->time);
    }

    time_point in(duration wait) const
    {
        return this->time.now() + wait;
    }

    std::uint64_t calls(store_call call)
    {
        return this->server.model()
            .truth()
            .calls[static_cast<std::size_t>(call)];
    }

    system_clock time;
    store_server server{0};
    std::optional<http_store> client;
};

} // namespace

TEST_CASE("objects go through HTTP unchanged")
{
    fixture f;
    const revision created =
        f.client->create(odd_name, "{\"a\": 1}", f.in(5s)).value();
    CHECK(f.client->create(odd_name, "x", f.in(5s)).error() == errc::conflict);
    const stored_object got = f.client->get(odd_name, f.in(5s)).value();
    CHECK(got.key == odd_name);
    CHECK(got.value == "{\"a\": 1}");
    CHECK(got.version == created);

    const revision updated =
        f.client->update(odd_name, "y", created, f.in(5s)).value();
    const store_snapshot listed =
        f.client->list({"mark", "plan"}, f.in(5s)).value();
    CHECK(listed.version == updated);
    REQUIRE(listed.objects.size() == 1);
    CHECK(listed.objects[0].value == "y");

    CHECK(
        f.client->remove(odd_name, created, f.in(5s)).error() ==
        errc::conflict);
    CHECK(f.client->remove(odd_name, updated, f.in(5s)).has_value());
    CHECK(f.client->get(odd_name, f.in(5s)).error() == errc::not_found);

    const watch_batch batch =
        f.client->watch({"plan"}, created, f.in(5s)).value();
    REQUIRE(batch.events.size() == 2);
    CHECK(batch.events[1].what == store_event::change::removed);
    f.server.model().compact();
    CHECK(
        f.client->watch({"plan"}, created, f.in(5s)).error() ==
        errc::compacted);
}

TEST_CASE("a waiting watch is woken by a write")
{
    fixture f;
    auto watching = std::async(
        std::launch::async,
        [&f]()
        {
            return f.client->watch({"plan"}, revision{0}, f.in(60s));
        });
    f.client->create(odd_name, "x", f.in(5s)).value();
    CHECK(watching.get().value().events.size() == 1);
}

TEST_CASE("a write is without effect only where that is certain")
{
    fixture f;
    store_faults faults;
    SECTION("refused by the store")
    {
        faults.down = true;
        f.server.model().set_faults(faults);
        CHECK(
            f.client->create(odd_name, "x", f.in(5s)).error() ==
            errc::unavailable);
    }
    SECTION("nobody listens")
    {
        f.server.stop();
        CHECK(
            f.client->create(odd_name, "x", f.in(5s)).error() ==
            errc::unavailable);
    }
    SECTION("no time left")
    {
        CHECK(
            f.client->create(odd_name, "x", f.in(0s)).error() ==
            errc::unavailable);
        CHECK(f.calls(store_call::create) == 0);
    }
    SECTION("the answer was lost")
    {
        f.client->list({"plan"}, f.in(5s)).value();
        faults.lost_answers = 1;
        f.server.model().set_faults(faults);
        CHECK(
            f.client->create(odd_name, "x", f.in(5s)).error() ==
            errc::unknown_effect);
        CHECK(f.calls(store_call::create) == 1);
        CHECK(f.client->get(odd_name, f.in(5s)).value().value == "x");
    }
    SECTION("the store answered past the deadline")
    {
        faults.delay = 200ms;
        f.server.model().set_faults(faults);
        CHECK(
            f.client->create(odd_name, "x", f.in(20ms)).error() ==
            errc::unknown_effect);
    }
}

TEST_CASE("a write on a connection that dies is not sent again")
{
    one_answer_server server;
    const system_clock time;
    http_store client{local(server.port()), time};
    // The first write is answered and leaves a kept connection; the second is
    // read from it and the connection closed.
    CHECK(client.create(odd_name, "x", time.now() + 5s).has_value());
    CHECK(
        client.create(odd_name, "y", time.now() + 5s).error() ==
        errc::unknown_effect);
    server.stop();
    CHECK(server.requests() == 2);
}

TEST_CASE("an answer that trickles in does not outlast the deadline")
{
    one_answer_server server{one_answer_server::behaviour::trickle};
    const system_clock time;
    http_store client{local(server.port()), time};
    CHECK(
        client.create(odd_name, "x", time.now() + 50ms).error() ==
        errc::unknown_effect);
    server.stop();
    CHECK(server.cut_off());
}

TEST_CASE("an answer of the store with a malformed head is not taken")
{
    using namespace std::string_literals;
    const std::string head = GENERATE(
        "HTTP/1.1 000 X\r\n"s,
        "HTTP/1.1 201 X\r\nX Odd: 1\r\n"s,
        "HTTP/1.1 201 X\r\nX-Odd : 1\r\n"s,
        "HTTP/1.1 201 X\r\nX-Other: 1\r\n X-Odd: 1\r\n"s,
        "HTTP/1.1 201 X\r\nX\0Odd: 1\r\n"s,
        "HTTP/1.1 404 X\r\nX\x7f: 1\r\n"s);
    const bool is_write = GENERATE(true, false);
    CAPTURE(head, is_write);
    const two_answer_server server{
        head + "Content-Length: 14\r\n\r\n{\"revision\":1}", false};
    const system_clock time;
    http_store client{local(server.address().port), time};
    const time_point deadline = time.now() + 5s;
    if (is_write)
    {
        const auto written = client.create({"k", "n"}, "1", deadline);
        CHECK((!written && written.error() == errc::unknown_effect));
        return;
    }
    const auto read = client.get({"k", "n"}, deadline);
    CHECK((!read && read.error() == errc::unavailable));
}
