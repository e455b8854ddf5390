#include "api/stream_writer.hpp"

#include "api/error_body.hpp"

#include <utility>

namespace fireflysail
{

stream_writer::stream_writer(
    httplib::DataSink& out, const chunk_encoder& encoder)
    : out{out}
    , encoder{encoder}
{
}

bool stream_writer::on_token(token_index /*index*/, const std::string& text)
{
    const auto event = this->encoder.token(text);
    return this->out.write(event.data(), event.size());
}

bool stream_writer::present()
{
    return this->out.is_writable();
}

void stream_writer::end(const completion_report& report, const request_id& id)
{
    std::string event;
    if (std::holds_alternative<completed>(report.how))
    {
        event = this->encoder.finish(report.reason) + "data: [DONE]\n\n";
    }
    else
    {
        event =
            "event: error\ndata: " + to_json(describe(report.how), id) + "\n\n";
    }
    this->out.write(event.data(), event.size());
}

answer_collector::answer_collector(std::function<bool()> caller_present)
    : caller_present{std::move(caller_present)}
{
}

bool answer_collector::on_token(token_index /*index*/, const std::string& text)
{
    this->collected += text;
    return this->caller_present();
}

bool answer_collector::present()
{
    return this->caller_present();
}

const std::string& answer_collector::text() const
{
    return this->collected;
}

} // namespace fireflysail
