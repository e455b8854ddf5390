#include "store/store_claims.hpp"

#include "store/claim_codec.hpp"

#include <utility>

namespace fireflysail
{

store_claims::store_claims(store& beginning, store& resolving)
    : beginning{beginning}
    , resolving{resolving}
{
}

result<revision>
store_claims::create(const ledger_entry& entry, time_point deadline)
{
    return this->beginning.create(
        claim_object_key(entry.key), encode_claim(entry), deadline);
}

result<revision> store_claims::replace(
    const ledger_entry& entry, revision expected, time_point deadline)
{
    return this->resolving.update(
        claim_object_key(entry.key), encode_claim(entry), expected, deadline);
}

result<versioned_entry>
store_claims::read(const claim_key& key, time_point deadline)
{
    const auto found = this->resolving.get(claim_object_key(key), deadline);
    if (!found)
    {
        return found.error();
    }
    auto entry = decode_claim(found.value().value);
    if (!entry)
    {
        return entry.error();
    }
    return versioned_entry{std::move(entry).value(), found.value().version};
}

result<revision> store_claims::remove(
    const claim_key& key, revision expected, time_point deadline)
{
    return this->resolving.remove(claim_object_key(key), expected, deadline);
}

} // namespace fireflysail
