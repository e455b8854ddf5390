#pragma once

#include "common/clock.hpp"
#include "common/result.hpp"
#include "ledger/claim_messages.hpp"
#include "ledger/ledger_entry.hpp"

namespace fireflysail
{

/// Store operations that the ledger uses. Errors are those of store/store.hpp.
class claim_store
{
public:
    virtual ~claim_store() = default;

    virtual result<revision>
    create(const ledger_entry& entry, time_point deadline) = 0;

    virtual result<revision> replace(
        const ledger_entry& entry, revision expected, time_point deadline) = 0;

    virtual result<versioned_entry>
    read(const claim_key& key, time_point deadline) = 0;

    virtual result<revision>
    remove(const claim_key& key, revision expected, time_point deadline) = 0;
};

/// Asks another instance about one of its attempts. Returns
/// claimant_unreachable unless that instance itself answers by the deadline.
class claimant_inquiry
{
public:
    virtual ~claimant_inquiry() = default;

    virtual claimant_answer
    ask(const instance_id& claimant,
        const attempt_id& attempt,
        time_point deadline) = 0;
};

/// Asks a service that records its attempts whether an attempt ran.
class service_lookup
{
public:
    virtual ~service_lookup() = default;

    virtual lookup_answer
    ask(const claim_key& key,
        const attempt_id& attempt,
        time_point deadline) = 0;
};

/// Blocks the calling thread for a given time. Tests replace it to advance a
/// virtual clock.
class sleeper
{
public:
    virtual ~sleeper() = default;

    virtual void wait(duration time) = 0;
};

/// Implements sleeper with std::this_thread::sleep_for.
class thread_sleeper final : public sleeper
{
public:
    void wait(duration time) override;
};

} // namespace fireflysail
