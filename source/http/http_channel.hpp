#pragma once

#include "blackboard/fleet.hpp"
#include "common/clock.hpp"
#include "common/result.hpp"
#include "common/units.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace fireflysail
{

struct channel_request
{
    std::string method;
    std::string target;
    std::string body;
    /// Further fields of the header.
    std::vector<std::pair<std::string, std::string>> fields = {};
    /// Of the body; empty if it is not known.
    std::string content_type = "application/json";
};

struct channel_answer
{
    unsigned status = 0;
    std::string body;
    /// Fields of the header.
    std::vector<std::pair<std::string, std::string>> fields = {};
};

/// The value of the first field with the name, whatever its case; empty if
/// there is none.
std::string find_field(const channel_answer& answer, std::string_view name);

/// Bounds an answer of the store, whose pages are about a megabyte.
inline constexpr byte_count longest_page{16ULL * 1024 * 1024};

/// One kept connection to an HTTP server, for calls that block the calling
/// thread until their deadline at the latest. After any failure the next call
/// opens a new connection. Used by one thread at a time.
class http_channel
{
public:
    /// An answer with a longer body fails. `connect_time` bounds the time in
    /// which the server has to accept a connection.
    explicit http_channel(
        endpoint address,
        byte_count most_answer_bytes = longest_page,
        duration connect_time = std::chrono::seconds{1});
    ~http_channel();

    http_channel(const http_channel&) = delete;
    http_channel& operator=(const http_channel&) = delete;

    /// Errors: errc::unavailable when nothing was sent, else
    /// errc::unknown_effect. `limit` bounds the whole call; it ends soon after
    /// `is_given_up` is true while it waits for the answer.
    result<channel_answer> call(
        const channel_request& request,
        duration limit,
        const std::function<bool()>& is_given_up = {});

private:
    struct connection;

    /// Null if the system has no room for it.
    static std::unique_ptr<connection> make_connection();

    /// Opens the current connection within the limit; errc::unavailable if that
    /// is not possible.
    std::error_code connect(duration limit);

    /// The host may be a name.
    const endpoint address;
    const byte_count most_answer_bytes;
    const duration connect_time;
    std::unique_ptr<connection> current;
};

} // namespace fireflysail
