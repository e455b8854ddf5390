#include "engine_server.hpp"

#include "common/log.hpp"
#include "engine_model.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <thread>
#include <utility>

namespace fireflysail
{

namespace
{

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr auto heartbeat_interval = milliseconds{100};
constexpr auto silence_poll = milliseconds{20};
constexpr std::string_view heartbeat = ": heartbeat\n\n";

/// Ends the request to the next stage once the caller of this one is gone;
/// a blocked read would not notice it.
class caller_watch
{
public:
    caller_watch(httplib::Client& downstream, httplib::DataSink& caller)
        : downstream{downstream}
        , caller{caller}
        , thread{[this]
                 {
                     this->run();
                 }}
    {
    }

    ~caller_watch()
    {
        this->done = true;
        this->thread.join();
    }

    caller_watch(const caller_watch&) = delete;
    caller_watch& operator=(const caller_watch&) = delete;

private:
    void run()
    {
        while (!this->done)
        {
            if (!this->caller.is_writable())
            {
                this->downstream.stop();
                return;
            }
            std::this_thread::sleep_for(silence_poll);
        }
    }

    httplib::Client& downstream;
    httplib::DataSink& caller;
    std::atomic<bool> done{false};
    std::thread thread;
};

bool send_text(httplib::DataSink& sink, std::string_view text)
{
    return sink.write(text.data(), text.size());
}

bool send_event(httplib::DataSink& sink, const json& event)
{
    return send_text(sink, "data: " + event.dump() + "\n\n");
}

json range_of(const json& stage)
{
    return {
        {"server", stage.at("server")},
        {"first", stage.at("first")},
        {"last", stage.at("last")}};
}

} // namespace

/// One attempt of a request, as this stage sees it.
struct engine_stand_in::generation
{
    json body;
    json stage;
    std::string request;
    std::string attempt;
    std::string prompt;
    std::uint32_t from = 0;
    std::uint32_t max_tokens = 0;
    microseconds step{};
};

engine_stand_in::engine_stand_in(engine_stand_in_options options)
    : options{std::move(options)}
    , server{http_server_options{}}
{
    this->server.Post(
        "/v1/pipeline/generate",
        [this](const auto& request, auto& response)
        {
            this->generate(request, response);
        });
    this->server.Get(
        "/v1/load",
        [this](const auto&, auto& response)
        {
            response.set_content(this->load().dump(), "application/json");
        });
    this->server.Post(
        "/v1/orders",
        [this](const auto& request, auto& response)
        {
            this->order(request, response);
        });
    this->server.Post(
        "/faults",
        [this](const auto& request, auto& response)
        {
            response.status = this->faults.set(request.body) ? 204 : 400;
        });
    this->server.Get(
        "/truth",
        [this](const auto&, auto& response)
        {
            response.set_content(this->truth().dump(), "application/json");
        });
}

bool engine_stand_in::start()
{
    if (!this->server.bind(
            this->options.listen.host, this->options.listen.port))
    {
        return false;
    }
    this->server.start();
    return true;
}

void engine_stand_in::stop()
{
    this->server.shut_down();
}

int engine_stand_in::port() const
{
    return this->server.port();
}

void engine_stand_in::generate(
    const httplib::Request& request, httplib::Response& response)
{
    const auto body = json::parse(request.body, nullptr, false);
    const bool valid = body.is_object() && body.contains("stages") &&
                       body["stages"].is_array() && !body["stages"].empty();
    const auto& held = this->options.holds;
    const bool held_here =
        valid && body.value("model", "") == held.model.str() &&
        body.value("version", "") == held.version.str() &&
        body["stages"][0].value("first", 0U) >= held.layers.first.value() &&
        body["stages"][0].value("last", 0U) <= held.layers.last.value();
    if (!valid || !held_here || this->faults.refuse)
    {
        response.status = valid ? 503 : 400;
        response.set_content(R"({"ran":false})", "application/json");
        return;
    }
    generation job;
    job.body = body;
    job.stage = body["stages"][0];
    job.request = body.value("request_id", "");
    job.attempt = body.value("attempt_id", "");
    job.prompt = body.value("prompt", "");
    job.from = body.value("from_index", 0U);
    job.max_tokens = body.value("max_tokens", 16U);
    job.step = this->options.step_time +
               microseconds{body.value("upstream_step_us", 0)};
    if (this->faults.crashes_on(job.prompt))
    {
        std::_Exit(1);
    }
    response.set_chunked_content_provider(
        "text/event-stream",
        [this, job = std::move(job)](std::size_t, httplib::DataSink& sink)
        {
            ++this->running;
            const bool whole = this->run(job, sink);
            --this->running;
            if (whole)
            {
                sink.done();
            }
            return whole;
        });
}

bool engine_stand_in::run(const generation& job, httplib::DataSink& sink)
{
    if (!this->wait_prefill(job, sink))
    {
        return false;
    }
    return job.body["stages"].size() == 1 ? this->run_last_stage(job, sink)
                                          : this->forward(job, sink);
}

bool engine_stand_in::wait_prefill(
    const generation& job, httplib::DataSink& sink)
{
    const auto all = stand_in_prompt_tokens(job.prompt) + job.from;
    std::uint32_t kept = 0;
    {
        const std::lock_guard lock{this->mutex};
        kept = std::min(this->kept_tokens[job.request], all);
    }
    microseconds left = this->options.prefill_time_per_token * (all - kept);
    while (left.count() > 0)
    {
        const auto slice = std::min<microseconds>(left, heartbeat_interval);
        std::this_thread::sleep_for(slice);
        left -= slice;
        if (!this->faults.silent && !send_text(sink, heartbeat))
        {
            return false;
        }
    }
    return true;
}

bool engine_stand_in::run_last_stage(
    const generation& job, httplib::DataSink& sink)
{
    auto next = std::chrono::steady_clock::now();
    for (std::uint32_t index = job.from; index < job.max_tokens; ++index)
    {
        next += job.step + milliseconds{this->faults.delay_ms};
        std::this_thread::sleep_until(next);
        if (!this->send_token(job, index, sink))
        {
            return false;
        }
    }
    json end{
        {"type", "end"},
        {"request_id", job.request},
        {"attempt_id", job.attempt},
        {"reason", "length"},
        {"tokens", job.max_tokens}};
    return send_event(sink, end);
}

bool engine_stand_in::send_token(
    const generation& job, std::uint32_t index, httplib::DataSink& sink)
{
    const auto limit = this->faults.silent_after.load();
    while (this->faults.silent || (limit > 0 && this->sent_tokens >= limit))
    {
        // The stream stays open and sends nothing until the caller is gone.
        if (!sink.is_writable())
        {
            return false;
        }
        std::this_thread::sleep_for(silence_poll);
        if (!this->faults.silent && this->faults.silent_after == 0)
        {
            break;
        }
    }
    const auto exit_limit = this->faults.exit_after.load();
    if (exit_limit > 0 && this->sent_tokens >= exit_limit)
    {
        std::_Exit(1);
    }
    ++this->sent_tokens;
    this->note_run(job, index);
    json token{
        {"type", "token"},
        {"request_id", job.request},
        {"attempt_id", job.attempt},
        {"index", index},
        {"text", stand_in_token(job.prompt, index)},
        {"ranges", json::array({range_of(job.stage)})}};
    if (!send_event(sink, token))
    {
        return false;
    }
    if (this->faults.crossed)
    {
        json other = token;
        other["request_id"] = "another-request";
        other["index"] = index + 1;
        other["text"] = " crossed";
        return send_event(sink, other) && send_event(sink, token);
    }
    return true;
}

void engine_stand_in::note_run(const generation& job, std::uint32_t index)
{
    const std::lock_guard lock{this->mutex};
    this->kept_tokens[job.request] =
        stand_in_prompt_tokens(job.prompt) + index + 1;
    ++this->run_tokens[job.request + "/" + job.attempt];
}

bool engine_stand_in::forward(const generation& job, httplib::DataSink& sink)
{
    json body = job.body;
    body["stages"].erase(0);
    body["upstream_step_us"] = job.step.count();
    const json& next = body["stages"][0];
    httplib::Client client{
        next.at("host").get<std::string>(), next.at("port").get<int>()};
    client.set_connection_timeout(1);
    client.set_read_timeout(600);
    client.set_tcp_nodelay(true);

    std::string buffered;
    bool caller_gone = false;
    httplib::Request request;
    request.method = "POST";
    request.path = "/v1/pipeline/generate";
    request.set_header("Content-Type", "application/json");
    request.body = body.dump();
    request.content_receiver =
        [&](const char* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        buffered.append(data, size);
        std::size_t end = 0;
        while ((end = buffered.find("\n\n")) != std::string::npos)
        {
            if (!this->relay(job, buffered.substr(0, end), sink))
            {
                caller_gone = true;
                return false;
            }
            buffered.erase(0, end + 2);
        }
        return true;
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    bool whole = false;
    {
        const caller_watch watch{client, sink};
        whole = client.send(request, response, error);
    }
    if (caller_gone)
    {
        return false;
    }
    if (whole && response.status == 200)
    {
        return true;
    }
    json lost{
        {"type", "error"},
        {"request_id", job.request},
        {"attempt_id", job.attempt},
        {"code", "stage_lost"},
        {"server", next.at("server")}};
    return send_event(sink, lost);
}

bool engine_stand_in::relay(
    const generation& job, std::string_view data, httplib::DataSink& sink)
{
    while (this->faults.silent)
    {
        if (!sink.is_writable())
        {
            return false;
        }
        std::this_thread::sleep_for(silence_poll);
    }
    constexpr std::string_view prefix = "data: ";
    if (!data.starts_with(prefix))
    {
        return send_text(sink, std::string{data} + "\n\n");
    }
    auto event = json::parse(data.substr(prefix.size()), nullptr, false);
    if (event.is_object() && event.value("type", "") == "token")
    {
        std::this_thread::sleep_for(milliseconds{this->faults.delay_ms});
        event["ranges"].insert(event["ranges"].begin(), range_of(job.stage));
        this->note_run(job, event.value("index", 0U));
    }
    return send_event(sink, event);
}

void engine_stand_in::order(
    const httplib::Request& request, httplib::Response& response)
{
    const auto body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
    {
        response.status = 400;
        return;
    }
    const auto number = body.value("fencing", std::uint64_t{0});
    const std::lock_guard lock{this->mutex};
    if (this->options.fencing == fencing_support::refuses_old &&
        number < this->highest_fencing)
    {
        response.status = 409;
        return;
    }
    this->highest_fencing = std::max(this->highest_fencing, number);
    this->desired = body;
    response.status = 204;
}

json engine_stand_in::load()
{
    const auto& held = this->options.holds;
    const std::lock_guard lock{this->mutex};
    return {
        {"id", this->options.id.str()},
        {"running", this->running.load()},
        {"waiting", 0},
        {"slots", this->options.slots},
        {"free_kv", 1'000'000},
        {"step_us", this->options.step_time.count()},
        {"prefill_us", this->options.prefill_time_per_token.count()},
        {"holdings",
         json::array(
             {{{"model", held.model.str()},
               {"version", held.version.str()},
               {"first", held.layers.first.value()},
               {"last", held.layers.last.value()},
               {"adapters", json::array()}}})},
        {"order", this->desired}};
}

json engine_stand_in::truth()
{
    const std::lock_guard lock{this->mutex};
    return {{"run_tokens", this->run_tokens}};
}

} // namespace fireflysail
