#pragma once

#include "api/completion_codec.hpp"
#include "serving/completion_request.hpp"

#include <httplib.h>

#include <functional>
#include <string>

namespace fireflysail
{

/// Writes an answer to its caller as server-sent events. A caller that does
/// not read blocks only its own stream, until the write timeout ends it.
class stream_writer final : public completion_sink
{
public:
    stream_writer(httplib::DataSink& out, const chunk_encoder& encoder);

    bool on_token(token_index index, const std::string& text) override;
    bool present() override;

    /// Writes the terminal event; every stream has exactly one.
    void end(const completion_report& report, const request_id& id);

private:
    httplib::DataSink& out;
    const chunk_encoder& encoder;
};

/// Collects an answer that is sent whole.
class answer_collector final : public completion_sink
{
public:
    explicit answer_collector(std::function<bool()> caller_present);

    bool on_token(token_index index, const std::string& text) override;
    bool present() override;

    const std::string& text() const;

private:
    std::function<bool()> caller_present;
    std::string collected;
};

} // namespace fireflysail
