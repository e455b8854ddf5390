#include "control/lease_client.hpp"

#include "common/error.hpp"
#include "control/field_reader.hpp"

#include <limits>
#include <utility>

namespace fireflysail
{

namespace
{

constexpr std::uint64_t max_number = std::numeric_limits<std::uint64_t>::max();

/// Limit of store calls per step: enough for a write that loses a race to be
/// followed by a read and one more attempt.
constexpr int max_calls_per_step = 4;

} // namespace

std::string encode(const lease_record& record)
{
    nlohmann::json fields{
        {"holder", record.holder.str()},
        {"life", record.incarnation},
        {"write", record.write},
        {"fence", record.fence.value()},
        {"released", record.released}};
    if (record.era)
    {
        fields["era"] = record.era->value();
    }
    if (record.known_fence)
    {
        fields["known_fence"] = record.known_fence->value();
    }
    return fields.dump();
}

result<lease_record> decode_lease(std::string_view value)
{
    std::vector<mistake> mistakes;
    const auto document = parse_object(value, mistakes);
    if (!document)
    {
        return errc::malformed;
    }
    field_reader fields{*document, "", mistakes};
    lease_record record;
    record.holder = instance_id{fields.string("holder")};
    record.incarnation = fields.string("life");
    record.write = fields.unsigned_integer("write", max_number);
    record.fence = fencing_number{fields.unsigned_integer("fence", max_number)};
    record.released = fields.boolean("released");
    if (fields.has("era"))
    {
        record.era = store_era{fields.unsigned_integer("era", max_era)};
    }
    if (fields.has("known_fence"))
    {
        record.known_fence =
            fencing_number{fields.unsigned_integer("known_fence", max_number)};
    }
    if (!mistakes.empty())
    {
        return errc::malformed;
    }
    return record;
}

lease_client::lease_client(
    const duty_id& duty, leader_lease lease, store& objects, const clock& time)
    : key{lease_kind, duty.str()}
    , lease{std::move(lease)}
    , objects{objects}
    , time{time}
{
}

time_point lease_client::step()
{
    for (int call = 0; call < max_calls_per_step; ++call)
    {
        const auto wanted = this->lease.next_action(this->time.now());
        if (const auto* wait = std::get_if<wait_for_lease>(&wanted))
        {
            return wait->when;
        }
        if (const auto* write = std::get_if<write_lease>(&wanted))
        {
            this->write(*write);
        }
        else
        {
            this->read();
        }
    }
    return this->time.now();
}

std::optional<leadership> lease_client::held() const
{
    return this->lease.held(this->time.now());
}

std::optional<leadership> lease_client::latest() const
{
    return this->lease.latest();
}

void lease_client::set_candidate(bool wanted)
{
    this->lease.set_candidate(wanted);
}

void lease_client::release()
{
    this->lease.release();
}

void lease_client::on_refused(fencing_number fence)
{
    this->lease.on_refused(fence);
}

void lease_client::resume()
{
    this->lease.resume();
}

void lease_client::read()
{
    const auto object = this->objects.get(
        this->key, this->time.now() + this->lease.call_timeout());
    result<std::optional<observed_lease>> answer =
        std::optional<observed_lease>{};
    if (object)
    {
        // A malformed lease has no holder that could renew it, so it is waited
        // out like any other.
        const auto record = decode_lease(object.value().value);
        answer = observed_lease{
            record ? record.value() : lease_record{}, object.value().version};
    }
    else if (object.error() != errc::not_found)
    {
        answer = object.error();
    }
    this->lease.on_read(answer, this->time.now());
}

void lease_client::write(const write_lease& wanted)
{
    const auto deadline = this->time.now() + this->lease.call_timeout();
    const auto value = encode(wanted.record);
    const auto answer =
        wanted.expected == revision{}
            ? this->objects.create(this->key, value, deadline)
            : this->objects.update(this->key, value, wanted.expected, deadline);
    this->lease.on_written(answer, this->time.now());
}

} // namespace fireflysail
