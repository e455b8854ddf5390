#include "control/instance_registry.hpp"

#include "common/error.hpp"
#include "common/hash.hpp"
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

/// Delay from registration to the first count, so that instances that start
/// together are all counted.
constexpr duration first_count_delay = 3s;

/// Instances are rarely added or removed, so a long interval is enough.
constexpr duration count_interval = 20s;

constexpr duration retry_delay = 2s;

/// By then each instance has listed the others again and found itself missing.
constexpr duration registered_again_after = count_interval * 2;

void log_failure(std::string_view what, const std::error_code& error)
{
    log::event(
        log::level::warning,
        log::channel::control,
        "instances_not_counted",
        {{"step", what}, {"error", error.message()}});
}

constexpr std::uint64_t max_port = 65535;

std::string encode_address(const endpoint& address)
{
    return nlohmann::json{{"host", address.host}, {"port", address.port}}
        .dump();
}

std::uint64_t weight_of(const instance_id& id)
{
    return rendezvous_weight("store", id.str());
}

std::optional<peer_instance> decode_peer(const stored_object& object)
{
    std::vector<mistake> mistakes;
    const auto document = parse_object(object.value, mistakes);
    if (!document)
    {
        return std::nullopt;
    }
    field_reader fields{*document, "", mistakes};
    peer_instance found;
    found.id = instance_id{object.key.name};
    found.address.host = fields.string("host");
    found.address.port =
        static_cast<int>(fields.unsigned_integer("port", max_port));
    if (!mistakes.empty())
    {
        return std::nullopt;
    }
    return found;
}

} // namespace

instance_registry::instance_registry(
    const peer_instance& self, store& objects, store& copy, const clock& time)
    : self{self}
    , objects{objects}
    , copy{copy}
    , time{time}
{
}

void instance_registry::step()
{
    const time_point now = this->time.now();
    if (now < this->next_count)
    {
        return;
    }
    if (this->registered)
    {
        this->count_instances(now);
    }
    else
    {
        this->register_self(now);
    }
}

void instance_registry::register_self(time_point now)
{
    const auto written = this->objects.create(
        {kind, this->self.id.str()},
        encode_address(this->self.address),
        now + short_call_time);
    // A conflict means that an earlier incarnation of this instance has
    // registered it.
    this->registered = written || written.error() == errc::conflict;
    if (!this->registered)
    {
        log_failure("register", written.error());
    }
    if (written)
    {
        this->registered_in = era_of(written.value());
    }
    this->next_count =
        now + (this->registered ? first_count_delay : retry_delay);
}

void instance_registry::count_instances(time_point now)
{
    const bool is_first = this->counted.load() == 0;
    store& source = is_first ? this->objects : this->copy;
    const auto listed = source.list({kind}, now + short_call_time);
    if (!listed)
    {
        log_failure("count", listed.error());
        this->next_count = now + retry_delay;
        return;
    }
    const store_era listed_in = era_of(listed.value().version);
    bool lists_self = false;
    auto found = std::make_shared<std::vector<peer_instance>>();
    for (const stored_object& object : listed.value().objects)
    {
        const auto peer = decode_peer(object);
        const bool is_self = object.key.name == this->self.id.str();
        lists_self |= is_self;
        if (!is_self && peer)
        {
            found->push_back(*peer);
        }
        if (is_self && peer != this->self)
        {
            this->update_registration(object, now);
        }
    }
    const auto known_in =
        this->counted_in ? this->counted_in : this->registered_in;
    if (!lists_self && known_in && listed_in > *known_in)
    {
        this->register_self(now);
        return;
    }
    const std::size_t total = listed.value().objects.size();
    if (total < this->counted.load() && !this->is_loss_believed(listed_in, now))
    {
        this->next_count = now + retry_delay;
        return;
    }
    this->counted_in = listed_in;
    this->fewer_since.reset();
    this->known_peers.publish(std::move(found));
    if (total != this->counted.exchange(total))
    {
        log::event(
            log::level::info,
            log::channel::control,
            "instances_counted",
            {{"count", total},
             {"revision", change_number_of(listed.value().version)},
             {"era", listed_in.value()}});
    }
    this->next_count = now + count_interval;
}

bool instance_registry::is_loss_believed(store_era listed_in, time_point now)
{
    if (!this->counted_in || listed_in <= *this->counted_in)
    {
        // Registrations are not removed, so this list is older than the last.
        return false;
    }
    this->fewer_since = this->fewer_since.value_or(now);
    return now >= *this->fewer_since + registered_again_after;
}

void instance_registry::update_registration(
    const stored_object& written, time_point now)
{
    const auto corrected = this->objects.update(
        written.key,
        encode_address(this->self.address),
        written.version,
        now + short_call_time);
    if (!corrected)
    {
        log_failure("correct", corrected.error());
    }
}

std::size_t instance_registry::rank() const
{
    const auto known = this->known_peers.load();
    return static_cast<std::size_t>(std::ranges::count_if(
        *known,
        [this](const peer_instance& peer)
        {
            return this->is_outranked_by(peer.id);
        }));
}

bool instance_registry::is_outranked_by(const instance_id& peer) const
{
    return weight_of(peer) > weight_of(this->self.id);
}

bool instance_registry::has_peer(
    const instance_id& id, std::string_view host) const
{
    const auto known = this->known_peers.load();
    return std::ranges::any_of(
        *known,
        [&](const peer_instance& peer)
        {
            return peer.id == id && peer.address.host == host;
        });
}

bool instance_registry::has_host(std::string_view host) const
{
    const auto known = this->known_peers.load();
    return std::ranges::any_of(
        *known,
        [host](const peer_instance& peer)
        {
            return peer.address.host == host;
        });
}

std::size_t instance_registry::count() const
{
    return this->counted.load();
}

std::shared_ptr<const std::vector<peer_instance>>
instance_registry::peers() const
{
    return this->known_peers.load();
}

} // namespace fireflysail
