#pragma once

#include "common/result.hpp"
#include "ledger/ledger_entry.hpp"
#include "store/store.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fireflysail
{

/// Claims are spread over so many kinds, so that each can be listed alone.
inline constexpr std::size_t claim_shards = 256;

/// A longer body is not kept: an object holds a megabyte, and the body grows
/// by a third in its encoding.
inline constexpr std::size_t longest_kept_body = std::size_t{700} * 1024;

object_key claim_object_key(const claim_key& key);

/// The kind of each shard, e.g. "claim-0f".
std::string claim_kind(std::size_t shard);

/// The value of an entry's object.
std::string encode_claim(const ledger_entry& entry);

/// errc::malformed for anything that encode_claim does not write.
result<ledger_entry> decode_claim(std::string_view value);

/// Whether a caller's key may be used: 1 to 255 visible ASCII characters.
bool is_valid(const idempotency_key& key);

} // namespace fireflysail
