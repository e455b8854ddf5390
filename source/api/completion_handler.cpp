#include "api/completion_handler.hpp"

#include "api/error_body.hpp"
#include "api/stream_writer.hpp"
#include "common/log.hpp"
#include "http/server.hpp"
#include "serving/completion_job.hpp"

#include <algorithm>
#include <utility>

namespace fireflysail
{

namespace
{

constexpr int bad_request = 400;
constexpr int forbidden = 403;

completion_request
make_request(completion_body body, const request_context& context)
{
    completion_request request;
    request.id = context.id;
    request.workspace = context.caller.workspace;
    request.priority = context.caller.entitlement->highest_class;
    request.weight = context.caller.entitlement->weight;
    request.model = std::move(body.model);
    request.adapter = std::move(body.adapter);
    request.prompt = std::move(body.prompt);
    request.max_tokens = body.max_tokens;
    request.deadline = context.deadline;
    return request;
}

bool may_use(const entitlement_entry& entitlement, const model_id& model)
{
    return std::ranges::find(entitlement.models, model) !=
           entitlement.models.end();
}

request_event event_of(const outcome& how)
{
    constexpr std::array events{
        request_event::completed,
        request_event::did_not_run,
        request_event::outcome_unknown,
        request_event::failed};
    static_assert(events.size() == std::variant_size_v<outcome>);
    return events.at(how.index());
}

} // namespace

void count_outcome(request_metrics& metrics, const outcome& how)
{
    metrics.count(event_of(how));
}

completion_handler::completion_handler(
    completion_service& service,
    limit_gate& limits,
    request_metrics& metrics,
    const clock& time,
    const completion_limits& bounds)
    : service{service}
    , limits{limits}
    , metrics{metrics}
    , time{time}
    , bounds{bounds}
{
}

void completion_handler::handle(
    const httplib::Request& http,
    httplib::Response& response,
    const request_context& context,
    completion_shape shape)
{
    auto parsed = parse_completion(http.body, shape, this->bounds);
    if (const auto* mistake = std::get_if<body_mistake>(&parsed))
    {
        this->metrics.count(request_event::malformed_request);
        respond(
            response,
            {bad_request, "invalid_request", mistake->message},
            context.id);
        return;
    }
    auto body = std::get<completion_body>(std::move(parsed));
    const bool streamed = body.stream;
    if (!may_use(*context.caller.entitlement, body.model))
    {
        respond(
            response,
            {forbidden,
             "model_not_in_plan",
             "The plan of this workspace does not include the model."},
            context.id);
        return;
    }
    const auto request = make_request(std::move(body), context);
    auto entrance = this->limits.enter(
        request.workspace,
        request.max_tokens,
        request.deadline,
        &http_server::caller_connected);
    if (const auto* refusal = std::get_if<did_not_run>(&entrance))
    {
        this->note(request, context.began, *refusal);
        respond(response, describe(*refusal), context.id);
        return;
    }
    std::shared_ptr<limit_gate::hold> hold =
        std::get<std::unique_ptr<limit_gate::hold>>(std::move(entrance));
    auto admission =
        this->service.admit(request, &http_server::caller_connected);
    if (const auto* refusal = std::get_if<did_not_run>(&admission))
    {
        hold->used(token_count{0});
        this->note(request, context.began, *refusal);
        respond(response, describe(*refusal), context.id);
        return;
    }
    std::shared_ptr<completion_job> job =
        std::get<std::unique_ptr<completion_job>>(std::move(admission));
    if (streamed)
    {
        this->stream(
            response,
            std::move(job),
            std::move(hold),
            request,
            context.began,
            shape);
    }
    else
    {
        this->whole(response, *job, *hold, request, context.began, shape);
    }
}

void completion_handler::stream(
    httplib::Response& response,
    std::shared_ptr<completion_job> job,
    std::shared_ptr<limit_gate::hold> hold,
    const completion_request& request,
    time_point began,
    completion_shape shape)
{
    response.set_chunked_content_provider(
        "text/event-stream",
        [this,
         job = std::move(job),
         hold = std::move(hold),
         request,
         began,
         shape](std::size_t, httplib::DataSink& out)
        {
            const chunk_encoder encoder{shape, request};
            stream_writer writer{out, encoder};
            const auto report = job->run(writer);
            hold->used(report.delivered);
            this->note(request, began, report.how);
            writer.end(report, request.id);
            out.done();
            return true;
        });
}

void completion_handler::whole(
    httplib::Response& response,
    completion_job& job,
    limit_gate::hold& hold,
    const completion_request& request,
    time_point began,
    completion_shape shape)
{
    answer_collector collector{&http_server::caller_connected};
    const auto report = job.run(collector);
    hold.used(report.delivered);
    this->note(request, began, report.how);
    if (std::holds_alternative<completed>(report.how))
    {
        response.set_content(
            encode_answer(shape, request, report, collector.text()),
            "application/json");
        return;
    }
    respond(response, describe(report.how), request.id);
}

void completion_handler::note(
    const completion_request& request, time_point began, const outcome& how)
{
    count_outcome(this->metrics, how);
    this->metrics.observe(
        request.workspace,
        request.priority,
        request_time::total,
        this->time.now() - began);
    log::debug(
        log::channel::api,
        "request {} of {} ended as {}",
        request.id.str(),
        request.workspace.str(),
        name_of(how));
}

} // namespace fireflysail
