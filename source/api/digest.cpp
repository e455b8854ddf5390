#include "api/digest.hpp"

#include <fmt/format.h>

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace fireflysail
{

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    ::SHA256(
        reinterpret_cast<const unsigned char*>(text.data()),
        text.size(),
        digest.data());
    std::string hex;
    for (const unsigned char byte : digest)
    {
        hex += fmt::format("{:02x}", byte);
    }
    return hex;
}

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() &&
           ::CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace fireflysail
