#include "control/instance_census.hpp"

#include "common/error.hpp"
#include "common/log.hpp"
#include "control/field_reader.hpp"

#include <algorithm>
#include <limits>
#include <memory>
#include <optional>
#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Instances that start together are all counted after this time.
constexpr duration first_count = 3s;

/// Between two counts: instances come and go seldom.
constexpr duration count_interval = 20s;

constexpr duration retry_pause = 2s;

void report_failure(std::string_view what, const std::error_code& error)
{
    log::event(
        log::level::warning,
        log::channel::control,
        "instances_not_counted",
        {{"step", what}, {"error", error.message()}});
}

constexpr std::uint64_t largest_port = 65535;

std::string encode_address(const endpoint& address)
{
    return nlohmann::json{{"host", address.host}, {"port", address.port}}
        .dump();
}

std::optional<fellow_instance> decode_fellow(const stored_object& object)
{
    std::vector<mistake> mistakes;
    const auto document = parse_object(object.value, mistakes);
    if (!document)
    {
        return std::nullopt;
    }
    field_reader fields{*document, "", mistakes};
    fellow_instance found;
    found.id = instance_id{object.key.name};
    found.address.host = fields.text("host");
    found.address.port = static_cast<int>(fields.whole("port", largest_port));
    if (!mistakes.empty())
    {
        return std::nullopt;
    }
    return found;
}

} // namespace

instance_census::instance_census(
    const fellow_instance& self, store& objects, const clock& time)
    : self{self}
    , objects{objects}
    , time{time}
{
}

void instance_census::step()
{
    const time_point now = this->time.now();
    if (now < this->next_count)
    {
        return;
    }
    if (this->registered)
    {
        this->count_all(now);
    }
    else
    {
        this->register_self(now);
    }
}

void instance_census::register_self(time_point now)
{
    const auto written = this->objects.create(
        {kind, this->self.id.str()},
        encode_address(this->self.address),
        now + short_call_time);
    // An earlier life of this instance may have written it.
    this->registered = written || written.error() == errc::conflict;
    if (!this->registered)
    {
        report_failure("register", written.error());
    }
    this->next_count = now + (this->registered ? first_count : retry_pause);
}

void instance_census::count_all(time_point now)
{
    const auto listed = this->objects.list({kind}, now + short_call_time);
    if (!listed)
    {
        report_failure("count", listed.error());
        this->next_count = now + retry_pause;
        return;
    }
    auto found = std::make_shared<std::vector<fellow_instance>>();
    for (const stored_object& object : listed.value().objects)
    {
        const auto fellow = decode_fellow(object);
        const bool is_self = object.key.name == this->self.id.str();
        if (!is_self && fellow)
        {
            found->push_back(*fellow);
        }
        if (is_self && fellow != this->self)
        {
            this->correct_self(object, now);
        }
    }
    this->others.publish(std::move(found));
    const std::size_t number = listed.value().objects.size();
    if (number != this->counted.exchange(number))
    {
        log::event(
            log::level::info,
            log::channel::control,
            "instances_counted",
            {{"count", number}, {"revision", listed.value().version.value()}});
    }
    this->next_count = now + count_interval;
}

void instance_census::correct_self(const stored_object& written, time_point now)
{
    const auto corrected = this->objects.update(
        written.key,
        encode_address(this->self.address),
        written.version,
        now + short_call_time);
    if (!corrected)
    {
        report_failure("correct", corrected.error());
    }
}

bool instance_census::has(const instance_id& id, std::string_view host) const
{
    const auto known = this->others.load();
    return std::ranges::any_of(
        *known,
        [&](const fellow_instance& one)
        {
            return one.id == id && one.address.host == host;
        });
}

std::size_t instance_census::count() const
{
    return this->counted.load();
}

std::shared_ptr<const std::vector<fellow_instance>>
instance_census::fellows() const
{
    return this->others.load();
}

} // namespace fireflysail
