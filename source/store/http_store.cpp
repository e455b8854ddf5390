#include "store/http_store.hpp"

#include "http/client_answer.hpp"
#include "http/local_port.hpp"
#include "http/silence_limit.hpp"
#include "store/call_watchdog.hpp"
#include "store/store_codec.hpp"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <absl/synchronization/mutex.h>

#include <httplib.h>

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

namespace fireflysail
{

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr const char* value_type = "application/json";

/// Share of a watch's time that the store may use up before it answers.
constexpr int watch_wait_percent = 90;

enum class effect
{
    reads,
    writes,
};

/// The answer to one call, or the error that its fate amounts to.
using answer = result<httplib::Response>;

std::string object_path(const object_key& key)
{
    return absl::StrCat(
        "/v1/objects/",
        percent_encode(key.kind),
        "/",
        percent_encode(key.name));
}

std::string kinds_parameter(const std::vector<std::string>& kinds)
{
    const auto encode = [](std::string* out, const std::string& kind)
    {
        absl::StrAppend(out, percent_encode(kind));
    };
    return absl::StrCat("kinds=", absl::StrJoin(kinds, ",", encode));
}

/// Only a failed connect is sure to have sent nothing.
bool never_sent(httplib::Error error)
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

std::error_code
error_of_status(int status, const std::string& body, effect does)
{
    constexpr int not_found = 404;
    constexpr int conflict = 409;
    constexpr int gone = 410;
    constexpr int precondition_failed = 412;
    constexpr int too_many_requests = 429;
    constexpr int service_unavailable = 503;
    constexpr int first_server_error = 500;
    switch (status)
    {
    case not_found:
        return errc::not_found;
    case conflict:
    case precondition_failed:
        return errc::conflict;
    case gone:
        return errc::compacted;
    case too_many_requests:
        return errc::unavailable;
    default:
        break;
    }
    if (does == effect::reads)
    {
        return status >= first_server_error ? errc::unavailable
                                            : errc::malformed;
    }
    // A gateway's 5xx does not say whether the write went through.
    const bool refused =
        status == service_unavailable && says_unavailable(body);
    return refused ? errc::unavailable : errc::unknown_effect;
}

/// A write whose confirmation cannot be read may have taken effect.
result<revision> written(const answer& got)
{
    if (!got)
    {
        return got.error();
    }
    const auto version = parse_written(got.value().body);
    if (!version)
    {
        return errc::unknown_effect;
    }
    return version.value();
}

} // namespace

class http_store::implementation
{
public:
    implementation(http_store_options options, const clock& time)
        : options{std::move(options)}
        , time{time}
        , watchdog{time}
    {
    }

    /// Sends one request by `send(client)` and waits for its answer, at most
    /// until the deadline.
    template <class Send>
    answer call(effect does, time_point deadline, Send send)
    {
        const duration left = deadline - this->time.now();
        if (left <= duration::zero())
        {
            return errc::unavailable;
        }
        std::unique_ptr<httplib::Client> client = this->take_client();
        set_timeouts(*client, left);
        httplib::Result got = [&]()
        {
            const call_watchdog::guard guard{
                this->watchdog,
                deadline,
                [&client]()
                {
                    client->stop();
                }};
            return send(*client);
        }();
        if (!got || !has_sound_head(*got))
        {
            const bool unsent = !got && never_sent(got.error());
            return does == effect::reads || unsent ? errc::unavailable
                                                   : errc::unknown_effect;
        }
        this->give_back(std::move(client));
        if (got->status < 200 || got->status > 299)
        {
            return error_of_status(got->status, got->body, does);
        }
        return *got;
    }

    httplib::Headers headers() const
    {
        httplib::Headers all;
        if (!this->options.token.empty())
        {
            all.emplace(
                "Authorization", absl::StrCat("Bearer ", this->options.token));
        }
        return all;
    }

    httplib::Headers headers(const char* name, const std::string& value) const
    {
        httplib::Headers all = this->headers();
        all.emplace(name, value);
        return all;
    }

    answer read(const std::string& path, time_point deadline)
    {
        return this->call(
            effect::reads,
            deadline,
            [&](httplib::Client& client)
            {
                return client.Get(path, this->headers());
            });
    }

    answer
    put(const object_key& key,
        const std::string& value,
        const httplib::Headers& condition,
        time_point deadline)
    {
        return this->call(
            effect::writes,
            deadline,
            [&](httplib::Client& client)
            {
                return client.Put(
                    object_path(key), condition, value, value_type);
            });
    }

    duration time_left(time_point deadline) const
    {
        return deadline - this->time.now();
    }

private:
    struct idle_client
    {
        std::unique_ptr<httplib::Client> client;
        time_point since;
    };

    std::unique_ptr<httplib::Client> take_client()
    {
        std::vector<idle_client> expired;
        {
            const absl::MutexLock lock{&this->mutex};
            const time_point now = this->time.now();
            while (!this->idle.empty())
            {
                idle_client last = std::move(this->idle.back());
                this->idle.pop_back();
                if (now - last.since <= this->options.max_idle)
                {
                    return std::move(last.client);
                }
                expired.push_back(std::move(last));
            }
        }
        auto fresh = std::make_unique<httplib::Client>(
            this->options.host, this->options.port);
        fresh->set_keep_alive(true);
        fresh->set_tcp_nodelay(true);
        fresh->set_socket_options(
            [](int socket)
            {
                limit_silence(socket);
                share_local_port(socket);
            });
        fresh->set_follow_location(false);
        // Paths come encoded; the library would encode a second time.
        fresh->set_url_encode(false);
        return fresh;
    }

    void give_back(std::unique_ptr<httplib::Client> client)
    {
        const absl::MutexLock lock{&this->mutex};
        if (this->idle.size() < this->options.max_idle_connections)
        {
            this->idle.push_back({std::move(client), this->time.now()});
        }
    }

    static void set_timeouts(httplib::Client& client, duration left)
    {
        const auto limit =
            std::chrono::ceil<microseconds>(left) + milliseconds{1};
        client.set_connection_timeout(limit);
        client.set_read_timeout(limit);
        client.set_write_timeout(limit);
    }

    const http_store_options options;
    const clock& time;
    absl::Mutex mutex;
    std::vector<idle_client> idle ABSL_GUARDED_BY(mutex);
    call_watchdog watchdog;
};

http_store::http_store(http_store_options options, const clock& time)
    : self{std::make_unique<implementation>(std::move(options), time)}
{
}

http_store::~http_store() = default;

result<stored_object>
http_store::get(const object_key& key, time_point deadline)
{
    const answer got = this->self->read(object_path(key), deadline);
    if (!got)
    {
        return got.error();
    }
    return parse_object(got.value().body);
}

result<store_snapshot>
http_store::list(const std::vector<std::string>& kinds, time_point deadline)
{
    const answer got = this->self->read(
        absl::StrCat("/v1/objects?", kinds_parameter(kinds)), deadline);
    if (!got)
    {
        return got.error();
    }
    return parse_snapshot(got.value().body);
}

result<revision> http_store::create(
    const object_key& key, const std::string& value, time_point deadline)
{
    return written(this->self->put(
        key, value, this->self->headers("If-None-Match", "*"), deadline));
}

result<revision> http_store::update(
    const object_key& key,
    const std::string& value,
    revision expected,
    time_point deadline)
{
    return written(this->self->put(
        key,
        value,
        this->self->headers("If-Match", absl::StrCat(expected.value())),
        deadline));
}

result<revision> http_store::remove(
    const object_key& key, revision expected, time_point deadline)
{
    const auto condition =
        this->self->headers("If-Match", absl::StrCat(expected.value()));
    return written(this->self->call(
        effect::writes,
        deadline,
        [&](httplib::Client& client)
        {
            return client.Delete(object_path(key), condition);
        }));
}

result<watch_batch> http_store::watch(
    const std::vector<std::string>& kinds, revision from, time_point deadline)
{
    const auto wait = std::chrono::floor<milliseconds>(
        this->self->time_left(deadline) * watch_wait_percent / 100);
    const answer got = this->self->read(
        absl::StrCat(
            "/v1/watch?",
            kinds_parameter(kinds),
            "&from=",
            from.value(),
            "&wait_ms=",
            std::max(milliseconds::zero(), wait).count()),
        deadline);
    if (!got)
    {
        return got.error();
    }
    return parse_watch_batch(got.value().body);
}

} // namespace fireflysail
