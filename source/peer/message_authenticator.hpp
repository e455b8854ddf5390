#pragma once

#include "blackboard/fleet.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// Keys shared by all instances. The first signs; each is accepted, so that a
/// key can be replaced while instances restart one after another.
struct peer_keys
{
    std::vector<std::string> keys;
};

/// What a request is signed for besides its body.
struct request_stamp
{
    /// Name of the sending process, drawn anew at each start; no spaces.
    std::string sender;
    /// Grows with each request from this sender to this receiver.
    std::uint64_t sequence = 0;
};

/// Signs and checks messages between instances by HMAC-SHA256, truncated to
/// 128 bits as RFC 2104 allows. Immutable, so safe from many threads.
class message_authenticator
{
public:
    explicit message_authenticator(peer_keys keys);

    /// Authentication header of a request to `receiver` in its `session`.
    std::string sign_request(
        const request_stamp& stamp,
        const endpoint& receiver,
        std::string_view session,
        std::string_view body) const;

    /// Reads the stamp out of `header`; false unless it was signed with one of
    /// the keys for this receiver, session and body.
    bool verify_request(
        std::string_view header,
        const endpoint& receiver,
        std::string_view session,
        std::string_view body,
        request_stamp& stamp) const;

    /// Authentication header of the reply to the request with `request_header`.
    std::string
    sign_reply(std::string_view request_header, std::string_view body) const;

    bool verify_reply(
        std::string_view reply_header,
        std::string_view request_header,
        std::string_view body) const;

private:
    bool matches(std::string_view code, std::string_view signed_text) const;

    peer_keys accepted;
};

/// 64 unpredictable bits in hexadecimal.
std::string draw_nonce();

} // namespace fireflysail
