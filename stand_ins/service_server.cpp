#include "service_server.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <thread>
#include <utility>

namespace fireflysail
{

namespace
{

using nlohmann::json;

constexpr auto key_header = "Idempotency-Key";

} // namespace

service_stand_in::service_stand_in(std::string id)
    : id{std::move(id)}
    , server{http_server_options{}}
{
    this->server.Get(
        "/truth",
        [this](const auto&, auto& response)
        {
            this->show_truth(response);
        });
    this->server.Post(
        "/faults",
        [this](const auto& request, auto& response)
        {
            this->set_faults(request, response);
        });
    this->server.Get(
        "/v1/outcomes",
        [this](const auto& request, auto& response)
        {
            this->show_outcome(request, response);
        });
    const auto act = [this](const auto& request, auto& response)
    {
        this->act(request, response);
    };
    this->server.Post("/.*", act);
    this->server.Put("/.*", act);
    this->server.Patch("/.*", act);
    this->server.Delete("/.*", act);
    this->server.Get(
        "/.*",
        [this](const auto& request, auto& response)
        {
            this->look_up(request, response);
        });
}

bool service_stand_in::start(const std::string& host, int port)
{
    if (!this->server.bind(host, port))
    {
        return false;
    }
    this->server.start();
    return true;
}

void service_stand_in::stop()
{
    this->server.shut_down();
}

int service_stand_in::port() const
{
    return this->server.port();
}

void service_stand_in::act(
    const httplib::Request& request, httplib::Response& response)
{
    const auto key = request.get_header_value(key_header);
    std::string answer;
    {
        const std::lock_guard lock{this->mutex};
        ++this->actions;
        ++this->runs_by_key[key];
        answer =
            json{
                {"server", this->id},
                {"number", this->actions},
                {"path", request.path},
                {"received", request.body}}
                .dump();
        this->answers_by_key[key] = answer;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{this->delay_ms});
    auto left = this->lost_answers.load();
    while (left > 0 &&
           !this->lost_answers.compare_exchange_weak(left, left - 1))
    {
    }
    if (left > 0)
    {
        response.set_content_provider(
            1,
            "application/json",
            [](std::size_t, std::size_t, httplib::DataSink&)
            {
                return false;
            });
        return;
    }
    response.status = 201;
    response.set_content(answer, "application/json");
}

void service_stand_in::look_up(
    const httplib::Request& request, httplib::Response& response)
{
    {
        const std::lock_guard lock{this->mutex};
        ++this->lookups;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{this->delay_ms});
    const json answer{{"server", this->id}, {"path", request.path}};
    response.set_content(answer.dump(), "application/json");
}

void service_stand_in::set_faults(
    const httplib::Request& request, httplib::Response& response)
{
    const auto faults = json::parse(request.body, nullptr, false);
    if (!faults.is_object())
    {
        response.status = 400;
        return;
    }
    this->delay_ms = faults.value("delay_ms", this->delay_ms.load());
    this->lost_answers =
        faults.value("lost_answers", this->lost_answers.load());
    response.status = 204;
}

void service_stand_in::show_truth(httplib::Response& response)
{
    const std::lock_guard lock{this->mutex};
    const json truth{
        {"actions", this->actions},
        {"lookups", this->lookups},
        {"runs_by_key", this->runs_by_key}};
    response.set_content(truth.dump(), "application/json");
}

void service_stand_in::show_outcome(
    const httplib::Request& request, httplib::Response& response)
{
    const auto key = request.get_param_value("key");
    const std::lock_guard lock{this->mutex};
    const auto found = this->answers_by_key.find(key);
    if (found == this->answers_by_key.end())
    {
        response.status = 404;
        return;
    }
    response.set_content(found->second, "application/json");
}

} // namespace fireflysail
