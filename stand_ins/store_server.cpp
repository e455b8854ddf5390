#include "store_server.hpp"

#include "common/clock.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <absl/synchronization/mutex.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace fireflysail
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr const char* json_type = "application/json";
constexpr const char* loopback = "127.0.0.1";
constexpr std::size_t requests_per_connection = 1'000'000;
constexpr time_t keep_alive_seconds = 5;
constexpr milliseconds longest_watch{60'000};

/// The server serves until a stop, so its calls have no deadline of their own.
constexpr time_point no_deadline = time_point::max();

/// Gives each connection its own thread: a kept connection or a waiting watch
/// would hold a thread of a small pool for good.
class thread_per_connection final : public httplib::TaskQueue
{
public:
    void enqueue(std::function<void()> task) override
    {
        {
            const absl::MutexLock lock{&this->mutex};
            this->running += 1;
        }
        std::thread{[this, task = std::move(task)]()
                    {
                        task();
                        const absl::MutexLock lock{&this->mutex};
                        this->running -= 1;
                    }}
            .detach();
    }

    void shutdown() override
    {
        const absl::MutexLock lock{&this->mutex};
        const auto idle = [this]()
        {
            this->mutex.AssertHeld();
            return this->running == 0;
        };
        this->mutex.Await(absl::Condition(&idle));
    }

private:
    absl::Mutex mutex;
    std::size_t running ABSL_GUARDED_BY(mutex) = 0;
};

json to_json(const stored_object& object)
{
    return {
        {"kind", object.key.kind},
        {"name", object.key.name},
        {"value", object.value},
        {"revision", object.version.value()}};
}

json to_json(const store_event& event)
{
    json answer = to_json(event.object);
    answer["change"] =
        event.what == store_event::change::written ? "written" : "removed";
    return answer;
}

json to_json(const store_call_counts& counts)
{
    return {
        {"get", counts[static_cast<std::size_t>(store_call::get)]},
        {"list", counts[static_cast<std::size_t>(store_call::list)]},
        {"create", counts[static_cast<std::size_t>(store_call::create)]},
        {"update", counts[static_cast<std::size_t>(store_call::update)]},
        {"remove", counts[static_cast<std::size_t>(store_call::remove)]},
        {"watch", counts[static_cast<std::size_t>(store_call::watch)]}};
}

json to_json(const store_truth& truth)
{
    json by_kind = json::object();
    for (const auto& [kind, counts] : truth.calls_by_kind)
    {
        by_kind[kind] = to_json(counts);
    }
    return {
        {"revision", truth.version.value()},
        {"objects", truth.objects},
        {"calls", to_json(truth.calls)},
        {"calls_by_kind", by_kind},
        {"writes_applied", truth.writes_applied}};
}

store_faults faults_from(const json& body)
{
    store_faults faults;
    faults.down = body.value("down", false);
    faults.stale_reads = body.value("stale_reads", false);
    faults.delay = milliseconds{body.value("delay_ms", 0)};
    faults.late_by = milliseconds{body.value("late_by_ms", 0)};
    faults.lost_answers = body.value("lost_answers", 0U);
    faults.lost_requests = body.value("lost_requests", 0U);
    faults.late_writes = body.value("late_writes", 0U);
    faults.lost_answer_chance = body.value("lost_answer_chance", 0.0);
    faults.lost_request_chance = body.value("lost_request_chance", 0.0);
    faults.late_write_chance = body.value("late_write_chance", 0.0);
    faults.refused_chance = body.value("refused_chance", 0.0);
    return faults;
}

void answer_json(httplib::Response& response, int status, const json& body)
{
    response.status = status;
    response.set_content(
        body.dump(-1, ' ', false, json::error_handler_t::replace), json_type);
}

/// Announces a body and ends the connection before it: a lost answer.
void drop_answer(httplib::Response& response)
{
    constexpr std::size_t announced_bytes = 64;
    response.set_content_provider(
        announced_bytes,
        json_type,
        [](std::size_t, std::size_t, httplib::DataSink&)
        {
            return false;
        });
}

void answer_error(httplib::Response& response, const std::error_code& error)
{
    if (error == errc::conflict)
    {
        answer_json(response, 412, {{"error", "conflict"}});
    }
    else if (error == errc::not_found)
    {
        answer_json(response, 404, {{"error", "not_found"}});
    }
    else if (error == errc::compacted)
    {
        answer_json(response, 410, {{"error", "compacted"}});
    }
    else if (error == errc::unavailable)
    {
        answer_json(response, 503, {{"error", "unavailable"}});
    }
    else
    {
        drop_answer(response);
    }
}

void answer_written(
    httplib::Response& response, const result<revision>& outcome, int status)
{
    if (!outcome)
    {
        answer_error(response, outcome.error());
        return;
    }
    answer_json(response, status, {{"revision", outcome.value().value()}});
}

std::optional<revision> parse_revision(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
    {
        return std::nullopt;
    }
    return revision{number};
}

std::vector<std::string> asked_kinds(const httplib::Request& request)
{
    return absl::StrSplit(
        request.get_param_value("kinds"), ',', absl::SkipEmpty());
}

object_key asked_key(const httplib::Request& request)
{
    return {request.matches[1].str(), request.matches[2].str()};
}

} // namespace

class store_server::implementation
{
public:
    explicit implementation(int port)
        : asked_port{port}
        , objects{this->time, store_model::watch_mode::blocking}
    {
        this->objects.on_delay(
            [](duration by)
            {
                std::this_thread::sleep_for(by);
            });
        this->server.new_task_queue = []()
        {
            return new thread_per_connection;
        };
        this->server.set_tcp_nodelay(true);
        this->server.set_keep_alive_max_count(requests_per_connection);
        this->server.set_keep_alive_timeout(keep_alive_seconds);
        this->add_object_routes();
        this->add_query_routes();
        this->add_test_routes();
    }

    bool start()
    {
        if (this->asked_port == 0)
        {
            this->bound_port = this->server.bind_to_any_port(loopback);
        }
        else if (this->server.bind_to_port(loopback, this->asked_port))
        {
            this->bound_port = this->asked_port;
        }
        if (this->bound_port <= 0)
        {
            return false;
        }
        this->listener = std::thread{[this]()
                                     {
                                         this->server.listen_after_bind();
                                     }};
        while (!this->server.is_running())
        {
            std::this_thread::yield();
        }
        return true;
    }

    void stop()
    {
        this->objects.stop_watches();
        this->server.stop();
        if (this->listener.joinable())
        {
            this->listener.join();
        }
    }

    int port() const
    {
        return this->bound_port;
    }

    store_model& model()
    {
        return this->objects;
    }

private:
    // Names may hold any character, a slash too: the library has already
    // decoded the path.
    static constexpr const char* object_path = R"(/v1/objects/([^/]+)/(.+))";

    void add_object_routes()
    {
        this->server.Get(
            object_path,
            [this](const httplib::Request& request, httplib::Response& response)
            {
                const auto found =
                    this->objects.get(asked_key(request), no_deadline);
                if (!found)
                {
                    answer_error(response, found.error());
                    return;
                }
                answer_json(response, 200, to_json(found.value()));
            });
        this->server.Put(
            object_path,
            [this](const httplib::Request& request, httplib::Response& response)
            {
                this->put(request, response);
            });
        this->server.Delete(
            object_path,
            [this](const httplib::Request& request, httplib::Response& response)
            {
                const auto expected =
                    parse_revision(request.get_header_value("If-Match"));
                if (!expected)
                {
                    answer_json(response, 400, {{"error", "invalid"}});
                    return;
                }
                answer_written(
                    response,
                    this->objects.remove(
                        asked_key(request), *expected, no_deadline),
                    200);
            });
    }

    void put(const httplib::Request& request, httplib::Response& response)
    {
        if (request.get_header_value("If-None-Match") == "*")
        {
            answer_written(
                response,
                this->objects.create(
                    asked_key(request), request.body, no_deadline),
                201);
            return;
        }
        const auto expected =
            parse_revision(request.get_header_value("If-Match"));
        if (!expected)
        {
            answer_json(response, 400, {{"error", "invalid"}});
            return;
        }
        answer_written(
            response,
            this->objects.update(
                asked_key(request), request.body, *expected, no_deadline),
            200);
    }

    void add_query_routes()
    {
        this->server.Get(
            "/v1/objects",
            [this](const httplib::Request& request, httplib::Response& response)
            {
                const auto found =
                    this->objects.list(asked_kinds(request), no_deadline);
                if (!found)
                {
                    answer_error(response, found.error());
                    return;
                }
                json listed = json::array();
                for (const stored_object& object : found.value().objects)
                {
                    listed.push_back(to_json(object));
                }
                answer_json(
                    response,
                    200,
                    {{"revision", found.value().version.value()},
                     {"objects", std::move(listed)}});
            });
        this->server.Get(
            "/v1/watch",
            [this](const httplib::Request& request, httplib::Response& response)
            {
                this->watch(request, response);
            });
    }

    void watch(const httplib::Request& request, httplib::Response& response)
    {
        const auto from = parse_revision(request.get_param_value("from"));
        const auto wait = parse_revision(request.get_param_value("wait_ms"));
        if (!from || !wait)
        {
            answer_json(response, 400, {{"error", "invalid"}});
            return;
        }
        const milliseconds bounded = std::min(
            longest_watch, milliseconds{static_cast<int>(wait->value())});
        const auto batch = this->objects.watch(
            asked_kinds(request), *from, this->time.now() + bounded);
        if (!batch)
        {
            answer_error(response, batch.error());
            return;
        }
        json events = json::array();
        for (const store_event& event : batch.value().events)
        {
            events.push_back(to_json(event));
        }
        answer_json(
            response,
            200,
            {{"next", batch.value().next.value()},
             {"events", std::move(events)}});
    }

    void add_test_routes()
    {
        this->server.Post(
            "/faults",
            [this](const httplib::Request& request, httplib::Response& response)
            {
                const json body = json::parse(request.body, nullptr, false);
                if (!body.is_object())
                {
                    answer_json(response, 400, {{"error", "invalid"}});
                    return;
                }
                this->objects.set_faults(faults_from(body));
                if (body.value("compact", false))
                {
                    this->objects.compact();
                }
                answer_json(response, 200, json::object());
            });
        this->server.Get(
            "/truth",
            [this](const httplib::Request&, httplib::Response& response)
            {
                answer_json(response, 200, to_json(this->objects.truth()));
            });
    }

    const int asked_port;
    int bound_port = 0;
    system_clock time;
    store_model objects;
    httplib::Server server;
    std::thread listener;
};

store_server::store_server(int port)
    : self{std::make_unique<implementation>(port)}
{
}

store_server::~store_server()
{
    this->stop();
}

bool store_server::start()
{
    return this->self->start();
}

void store_server::stop()
{
    this->self->stop();
}

int store_server::port() const
{
    return this->self->port();
}

store_model& store_server::model()
{
    return this->self->model();
}

} // namespace fireflysail
