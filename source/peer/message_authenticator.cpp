#include "peer/message_authenticator.hpp"

#include "common/invariant.hpp"

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>
#include <absl/strings/string_view.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <utility>

namespace fireflysail
{

namespace
{

constexpr std::size_t code_bytes = 16;
constexpr std::size_t nonce_bytes = 8;

absl::string_view to_absl(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string authentication_code(const std::string& key, std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned size = 0;
    const unsigned char* made = HMAC(
        EVP_sha256(),
        key.data(),
        static_cast<int>(key.size()),
        reinterpret_cast<const unsigned char*>(text.data()),
        text.size(),
        digest.data(),
        &size);
    ensure(made != nullptr && size >= code_bytes, "HMAC-SHA256 gives 32 bytes");
    return absl::BytesToHexString(
        {reinterpret_cast<const char*>(digest.data()), code_bytes});
}

// The sizes stand first, so no two different requests give the same text.
std::string request_text(
    std::string_view stamp,
    const endpoint& receiver,
    std::string_view session,
    std::string_view body)
{
    return absl::StrCat(
        "request 1 ",
        stamp.size(),
        " ",
        session.size(),
        " ",
        body.size(),
        "\n",
        to_absl(stamp),
        "\n",
        receiver.host,
        " ",
        receiver.port,
        "\n",
        to_absl(session),
        "\n",
        to_absl(body));
}

std::string reply_text(std::string_view request_header, std::string_view body)
{
    return absl::StrCat(
        "reply 1 ",
        request_header.size(),
        "\n",
        to_absl(request_header),
        "\n",
        to_absl(body));
}

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace

message_authenticator::message_authenticator(peer_keys keys)
    : accepted{std::move(keys)}
{
    ensure(!this->accepted.keys.empty(), "peers have at least one key");
}

std::string message_authenticator::sign_request(
    const request_stamp& stamp,
    const endpoint& receiver,
    std::string_view session,
    std::string_view body) const
{
    const std::string text = absl::StrCat(stamp.sender, " ", stamp.sequence);
    const std::string code = authentication_code(
        this->accepted.keys.front(),
        request_text(text, receiver, session, body));
    return absl::StrCat(text, " ", code);
}

bool message_authenticator::verify_request(
    std::string_view header,
    const endpoint& receiver,
    std::string_view session,
    std::string_view body,
    request_stamp& stamp) const
{
    const std::size_t end = header.rfind(' ');
    if (end == std::string_view::npos ||
        header.find('\n') != std::string_view::npos)
    {
        return false;
    }
    const std::string_view text = header.substr(0, end);
    const std::string_view code = header.substr(end + 1);
    if (!this->matches(code, request_text(text, receiver, session, body)))
    {
        return false;
    }
    const std::size_t space = text.rfind(' ');
    if (space == std::string_view::npos)
    {
        return false;
    }
    stamp.sender = std::string{text.substr(0, space)};
    return absl::SimpleAtoi(to_absl(text.substr(space + 1)), &stamp.sequence);
}

std::string message_authenticator::sign_reply(
    std::string_view request_header, std::string_view body) const
{
    return authentication_code(
        this->accepted.keys.front(), reply_text(request_header, body));
}

bool message_authenticator::verify_reply(
    std::string_view reply_header,
    std::string_view request_header,
    std::string_view body) const
{
    return this->matches(reply_header, reply_text(request_header, body));
}

bool message_authenticator::matches(
    std::string_view code, std::string_view signed_text) const
{
    return std::ranges::any_of(
        this->accepted.keys,
        [&](const std::string& key)
        {
            return equal_in_constant_time(
                code, authentication_code(key, signed_text));
        });
}

std::string draw_nonce()
{
    // The passed-in random sources are for decisions; a session that an
    // attacker could predict would let old messages in.
    std::array<unsigned char, nonce_bytes> bytes{};
    ensure(
        RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) == 1,
        "the system has a random source");
    return absl::BytesToHexString(
        {reinterpret_cast<const char*>(bytes.data()), bytes.size()});
}

} // namespace fireflysail
