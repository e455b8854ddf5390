#include "relay/relay_fixture.hpp"

#include <catch2/catch.hpp>

using namespace fireflysail;

namespace
{

using numbered = std::size_t;

scripted_server::script always(const scripted_answer& answer)
{
    return [answer](numbered, const http_request&)
    {
        return answer;
    };
}

std::string text_of(const http_fields& header, const char* name)
{
    const auto value = header[name];
    return {value.data(), value.size()};
}

} // namespace

TEST_CASE_METHOD(relay_fixture, "a request is forwarded as it came")
{
    auto& server = this->add_desk("home", always(whole_answer(200, "done")));
    const std::string request =
        "POST /once/a%20b?x=1&y HTTP/1.1\r\nHost: shop.example\r\n"
        "X-Fireflysail-Attempt-Id: 9c41\r\nAuthorization: Bearer key\r\n"
        "X-Fireflysail-Tenant: forged\r\nX-Own: kept\r\n"
        "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    const auto answers = this->ask({request});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 200);
    CHECK(answers[0].body == "done");
    CHECK(text_of(answers[0].header, "X-Fireflysail-Server-Stamp") == "stamp");
    REQUIRE(server.received.size() == 1);
    const auto& seen = server.received[0];
    CHECK(seen.method() == http::verb::post);
    CHECK(seen.target() == "/once/a%20b?x=1&y");
    CHECK(seen.body() == "hello");
    CHECK(seen["X-Own"] == "kept");
    CHECK(seen["X-Fireflysail-Tenant"] == "team");
    CHECK(seen.count("Authorization") == 0);
    CHECK(seen.count("X-Hop") == 0);
    CHECK(seen["X-Fireflysail-Expect-Instance"] == "home");
}

TEST_CASE_METHOD(relay_fixture, "several requests go over one connection")
{
    this->add_desk("home", always(whole_answer(200, "done")));
    const auto answers =
        this->ask({get("/safe/1"), get("/safe/2"), get("/safe/3")});
    CHECK(answers.size() == 3);
    CHECK(answers.back().status == 200);
}

TEST_CASE_METHOD(relay_fixture, "no route is 404 and no known key is 401")
{
    this->add_desk("home", always(whole_answer(200, "done")));
    const auto answers = this->ask(
        {get("/elsewhere/"),
         "GET /safe/ HTTP/1.1\r\nHost: shop.example\r\n"
         "Authorization: Bearer other\r\n\r\n",
         get("/safe/")});
    REQUIRE(answers.size() == 3);
    CHECK(answers[0].status == 404);
    CHECK(answers[1].status == 401);
    CHECK(answers[2].status == 200);
}

TEST_CASE_METHOD(relay_fixture, "without a configuration nothing is denied")
{
    this->config.reset();
    const auto answers = this->ask({get("/safe/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 503);
    CHECK_FALSE(text_of(answers[0].header, "Retry-After").empty());
}

TEST_CASE_METHOD(
    relay_fixture, "callers come back later while the store gives nothing")
{
    this->config.reset();
    this->store_is_lost = true;
    const auto answers = this->ask(
        {get("/safe/", "X-Fireflysail-Deadline-Ms: 30000\r\n"),
         get("/safe/", "X-Fireflysail-Deadline-Ms: 3000\r\n")});
    REQUIRE(answers.size() == 2);
    const auto advice = [&answers](std::size_t i)
    {
        return std::stod(text_of(answers.at(i).header, "Retry-After"));
    };
    CHECK(answers[0].status == 503);
    CHECK(advice(0) >= 4);
    CHECK(advice(0) <= 6);
    // Callers follow advice up to a third of the time that they have left.
    CHECK(advice(1) <= 1);
}

TEST_CASE_METHOD(relay_fixture, "an idempotent request is asked elsewhere")
{
    auto& lost = this->add_desk("home", always({"", true}));
    auto& good = this->add_desk("other", always(whole_answer(200, "done")));
    const auto answers = this->ask({get("/safe/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].body == "done");
    CHECK(lost.received.size() == 1);
    CHECK(good.received.size() == 1);
}

TEST_CASE_METHOD(relay_fixture, "what may run once is never sent again")
{
    auto& lost = this->add_desk("home", always({"", true}));
    auto& good = this->add_desk("other", always(whole_answer(200, "done")));
    const auto answers = this->ask({get("/once/")});
    REQUIRE(answers.size() == 1);
    // Whether it ran is not known: no status that promises that it did not.
    CHECK(answers[0].status == 502);
    CHECK(lost.received.size() == 1);
    CHECK(good.received.empty());
}

TEST_CASE_METHOD(
    relay_fixture, "a refusal by the server may be asked elsewhere")
{
    this->config->routes["shop.example"][1].most_attempts = 2;
    this->add_desk("home", always(refusal()));
    auto& good = this->add_desk("other", always(whole_answer(200, "done")));
    const auto answers = this->ask({get("/once/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 200);
    CHECK(good.received.size() == 1);
}

TEST_CASE_METHOD(relay_fixture, "a request that nobody took is truly refused")
{
    this->add_desk("home", always(refusal()));
    const auto answers = this->ask({get("/once/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 503);
    CHECK_FALSE(text_of(answers[0].header, "Retry-After").empty());
}

TEST_CASE_METHOD(relay_fixture, "an answer to another request is not passed on")
{
    this->add_desk(
        "home",
        always(
            {"HTTP/1.1 200 OK\r\nX-Fireflysail-Attempt-Id: other\r\n"
             "X-Fireflysail-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nno"}));
    const auto answers = this->ask({get("/once/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 502);
}

TEST_CASE_METHOD(relay_fixture, "a success without proof is not passed on")
{
    this->add_desk(
        "home",
        always({"HTTP/1.1 200 OK\r\nX-Fireflysail-Attempt-Id: ID\r\n"
                "Content-Length: 2\r\n\r\nno"}));
    const auto answers = this->ask({get("/once/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 502);
}

TEST_CASE_METHOD(relay_fixture, "a cut body is not passed on as whole")
{
    this->add_desk(
        "home",
        always(
            {"HTTP/1.1 200 OK\r\nX-Fireflysail-Attempt-Id: ID\r\n"
             "X-Fireflysail-Server-Stamp: s\r\nContent-Length: 20\r\n\r\nno",
             true}));
    const auto answers = this->ask({get("/once/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 502);
}

TEST_CASE_METHOD(
    relay_fixture, "an answer that ends with its connection counts")
{
    this->add_desk(
        "home",
        always(
            {"HTTP/1.1 200 OK\r\nX-Fireflysail-Attempt-Id: ID\r\n"
             "X-Fireflysail-Server-Stamp: s\r\n\r\nwhole",
             true}));
    const auto answers = this->ask({get("/once/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 200);
    CHECK(answers[0].body == "whole");
}

TEST_CASE_METHOD(relay_fixture, "an idempotent call that failed is asked again")
{
    this->add_desk("home", always(whole_answer(500, "error")));
    this->add_desk("other", always(whole_answer(200, "done")));
    const auto answers = this->ask({get("/safe/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 200);
}

TEST_CASE_METHOD(relay_fixture, "a failure that stays is passed on unchanged")
{
    this->add_desk("home", always(whole_answer(500, "error")));
    this->add_desk("other", always(whole_answer(500, "error")));
    const auto answers = this->ask({get("/safe/")});
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].status == 500);
    CHECK(answers[0].body == "error");
    CHECK(text_of(answers[0].header, "X-Fireflysail-Server-Stamp") == "stamp");
}

TEST_CASE_METHOD(relay_fixture, "broken and oversized requests end as such")
{
    auto& server = this->add_desk("home", always(whole_answer(200, "done")));
    this->config->limits.body = byte_count{10};
    const auto broken = this->ask({"NONSENSE\r\n\r\n"});
    REQUIRE(broken.size() == 1);
    CHECK(broken[0].status == 400);
    const auto smuggled =
        this->ask({"POST /once/ HTTP/1.1\r\nHost: shop.example\r\n"
                   "Authorization: Bearer key\r\nContent-Length: 4\r\n"
                   "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"});
    REQUIRE(smuggled.size() == 1);
    CHECK(smuggled[0].status == 400);
    const auto large =
        this->ask({"POST /once/ HTTP/1.1\r\nHost: shop.example\r\n"
                   "Authorization: Bearer key\r\nContent-Length: 11\r\n\r\n"
                   "hello hello"});
    REQUIRE(large.size() == 1);
    CHECK(large[0].status == 413);
    const auto long_header = this->ask(
        {get("/safe/", "X-Long: " + std::string(20000, 'x') + "\r\n")});
    REQUIRE(long_header.size() == 1);
    CHECK(long_header[0].status == 431);
    CHECK(server.received.empty());
}

TEST_CASE_METHOD(
    relay_fixture, "a request that crashed its server is not run again")
{
    scripted_server* crashing = nullptr;
    crashing = &this->add_desk(
        "home",
        [&crashing](numbered, const http_request&) -> scripted_answer
        {
            crashing->stop();
            return {"", true};
        });
    auto& other = this->add_desk("other", always(whole_answer(200, "done")));
    const auto answers = this->ask({get("/safe/"), get("/safe/")});
    REQUIRE(answers.size() == 2);
    CHECK(answers[0].status == 502);
    CHECK(answers[1].status == 503);
    CHECK(other.received.empty());
}
