#include "http/http_channel.hpp"

#include "common/error.hpp"
#include "common/log.hpp"
#include "http/answer_head.hpp"
#include "http/local_port.hpp"
#include "http/silence_limit.hpp"

#include <absl/cleanup/cleanup.h>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace fireflysail
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

/// Time for one attempt to connect. A listener whose queue is full drops the
/// opening packet, and the system sends it again only after a second: too late
/// where hundreds of instances start together.
constexpr std::chrono::milliseconds connect_attempt_time{200};

/// A call that may be given up looks so often whether it was.
constexpr std::chrono::milliseconds look_interval{250};

/// Interim answers to one call that are read past.
constexpr int most_interim_answers = 8;

/// Answers below are interim ones.
constexpr unsigned first_final_status = 200;

/// What the request says of its answer.
struct answer_form
{
    byte_count most_bytes;
    /// Its method has answers without a body, whatever their head says.
    bool is_bodiless = false;
};

using parser_type = http::response_parser<http::string_body>;

/// Bounds what of an answer is held before it is parsed.
constexpr std::size_t most_buffered_bytes = std::size_t{128} * 1024;

/// Where a server may be reached: several places if its host is a name.
std::vector<asio::ip::tcp::endpoint> resolve(const endpoint& address)
{
    boost::system::error_code failed;
    const auto ip = asio::ip::make_address(address.host, failed);
    if (!failed)
    {
        return {{ip, static_cast<unsigned short>(address.port)}};
    }
    asio::io_context context{1};
    asio::ip::tcp::resolver names{context};
    const auto found =
        names.resolve(address.host, std::to_string(address.port), failed);
    std::vector<asio::ip::tcp::endpoint> places;
    std::ranges::transform(
        found,
        std::back_inserter(places),
        [](const auto& entry)
        {
            return entry.endpoint();
        });
    return places;
}

} // namespace

struct http_channel::connection
{
    asio::io_context context{1};
    beast::tcp_stream stream{context};
    answer_buffer buffer{most_buffered_bytes};

    /// Runs what was started until its handler ran.
    void run(const std::function<bool()>& is_given_up)
    {
        this->context.restart();
        while (is_given_up && !this->context.stopped())
        {
            this->context.run_for(look_interval);
            if (!this->context.stopped() && is_given_up())
            {
                this->stream.cancel();
                break;
            }
        }
        this->context.run();
    }

    template <class Start>
    boost::system::error_code wait(
        duration limit,
        Start&& start,
        const std::function<bool()>& is_given_up = {})
    {
        boost::system::error_code outcome = asio::error::timed_out;
        this->stream.expires_after(limit);
        start(
            [&outcome](boost::system::error_code error, auto&&...)
            {
                outcome = error;
            });
        this->run(is_given_up);
        return outcome;
    }

    /// Reads the head of an answer.
    boost::system::error_code read_head(
        parser_type& parser,
        duration limit,
        const std::function<bool()>& is_given_up)
    {
        this->buffer.begin_head();
        const auto failed = this->wait(
            limit,
            [&](auto handler)
            {
                http::async_read_header(
                    this->stream, this->buffer, parser, std::move(handler));
            },
            is_given_up);
        const bool is_folded = this->buffer.end_head();
        if (!failed && (is_folded || !is_answer_head(parser.get())))
        {
            return http::error::bad_value;
        }
        return failed;
    }

    /// Reads the final answer.
    boost::system::error_code read_answer(
        std::optional<parser_type>& parser,
        const answer_form& expected,
        const std::function<duration()>& left,
        const std::function<bool()>& is_given_up)
    {
        boost::system::error_code failed;
        int interim_answers = 0;
        do
        {
            parser.emplace();
            parser->body_limit(expected.most_bytes.value());
            parser->skip(expected.is_bodiless);
            failed = this->read_head(*parser, left(), is_given_up);
        } while (!failed && parser->get().result_int() < first_final_status &&
                 ++interim_answers <= most_interim_answers);
        if (failed || interim_answers > most_interim_answers)
        {
            return failed ? failed : http::error::bad_status;
        }
        return this->wait(
            left(),
            [&](auto handler)
            {
                http::async_read(
                    this->stream, this->buffer, *parser, std::move(handler));
            },
            is_given_up);
    }
};

std::string find_field(const channel_answer& answer, std::string_view name)
{
    const auto found = std::ranges::find_if(
        answer.fields,
        [name](const auto& field)
        {
            return beast::iequals(field.first, {name.data(), name.size()});
        });
    return found == answer.fields.end() ? std::string{} : found->second;
}

http_channel::http_channel(
    endpoint address, byte_count most_answer_bytes, duration connect_time)
    : address{std::move(address)}
    , most_answer_bytes{most_answer_bytes}
    , connect_time{connect_time}
{
}

http_channel::~http_channel() = default;

std::unique_ptr<http_channel::connection> http_channel::make_connection()
{
    try
    {
        return std::make_unique<connection>();
    }
    catch (const boost::system::system_error& failed)
    {
        // An event loop needs descriptors, of which the system had none left.
        log::event(
            log::level::warning,
            log::channel::store,
            "connection_not_made",
            {{"error", failed.code().message()}});
        return nullptr;
    }
}

std::error_code http_channel::connect(duration limit)
{
    const auto places = resolve(this->address);
    if (places.empty())
    {
        return errc::unavailable;
    }
    boost::system::error_code failed;
    const auto deadline = std::chrono::steady_clock::now() + limit;
    auto left = limit;
    failed = asio::error::timed_out;
    while (failed == asio::error::timed_out && left > duration::zero())
    {
        this->current = make_connection();
        if (!this->current)
        {
            return errc::unavailable;
        }
        failed = this->current->wait(
            std::min<duration>(connect_attempt_time, left),
            [&](auto handler)
            {
                this->current->stream.async_connect(places, std::move(handler));
            });
        if (failed == beast::error::timeout)
        {
            failed = asio::error::timed_out;
        }
        left = deadline - std::chrono::steady_clock::now();
    }
    if (failed || this->current->stream.socket().set_option(
                      asio::ip::tcp::no_delay{true}, failed))
    {
        this->current.reset();
        return errc::unavailable;
    }
    limit_silence(this->current->stream.socket().native_handle());
    share_local_port(this->current->stream.socket().native_handle());
    return {};
}

result<channel_answer> http_channel::call(
    const channel_request& request,
    duration limit,
    const std::function<bool()>& is_given_up)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    const auto left = [deadline]() -> duration
    {
        return deadline - std::chrono::steady_clock::now();
    };
    if (!this->current)
    {
        const auto failed = this->connect(std::min(this->connect_time, left()));
        if (failed)
        {
            return failed;
        }
    }
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.target);
    message.version(11);
    message.set(
        http::field::host,
        fmt::format("{}:{}", this->address.host, this->address.port));
    for (const auto& [name, value] : request.fields)
    {
        message.set(name, value);
    }
    if (!request.body.empty())
    {
        message.body() = request.body;
        if (!request.content_type.empty())
        {
            message.set(http::field::content_type, request.content_type);
        }
    }
    message.prepare_payload();
    connection& used = *this->current;
    // What is left of a call must not run in the next one.
    absl::Cleanup drop = [this]
    {
        this->current.reset();
    };
    const auto not_written = used.wait(
        left(),
        [&](auto handler)
        {
            http::async_write(used.stream, message, std::move(handler));
        });
    std::optional<parser_type> parser;
    const answer_form expected{
        this->most_answer_bytes, message.method() == http::verb::head};
    const auto not_read =
        not_written ? not_written
                    : used.read_answer(parser, expected, left, is_given_up);
    if (not_read)
    {
        return errc::unknown_effect;
    }
    channel_answer answer{
        parser->get().result_int(), std::move(parser->get().body())};
    for (const auto& field : parser->get())
    {
        const auto name = field.name_string();
        const auto value = field.value();
        answer.fields.emplace_back(
            std::string{name.data(), name.size()},
            std::string{value.data(), value.size()});
    }
    if (parser->get().keep_alive() && used.buffer.size() == 0)
    {
        std::move(drop).Cancel();
    }
    return answer;
}

} // namespace fireflysail
