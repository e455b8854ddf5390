#pragma once

#include "ledger/ledger_ports.hpp"
#include "store/store.hpp"

namespace fireflysail
{

/// The ledger's entries as objects of the store.
class store_claims final : public claim_store
{
public:
    /// `beginning` carries the calls that begin a claim, and `resolving` those
    /// that end one: they may differ in the priority of their budget.
    store_claims(store& beginning, store& resolving);

    result<revision>
    create(const ledger_entry& entry, time_point deadline) override;

    result<revision> replace(
        const ledger_entry& entry,
        revision expected,
        time_point deadline) override;

    result<versioned_entry>
    read(const claim_key& key, time_point deadline) override;

    result<revision> remove(
        const claim_key& key, revision expected, time_point deadline) override;

private:
    store& beginning;
    store& resolving;
};

} // namespace fireflysail
