#include "cluster/shared_state.hpp"

#include "common/json_text.hpp"
#include "control/marks_codec.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <string_view>

namespace fireflysail
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view mark_prefix = "mark/";
constexpr std::string_view quarantine_prefix = "quarantine/";

// Long enough for an outage of the store; after that the store tells the mark
// itself.
constexpr std::chrono::hours mark_lifetime{2};
constexpr std::chrono::hours quarantine_lifetime{4};

std::int64_t to_ms(duration time)
{
    return std::chrono::duration_cast<milliseconds>(time).count();
}

std::string encode_record(const crash_record& record)
{
    return json{
        {"print", record.print.value()},
        {"crashes", record.crashes},
        {"quarantines", record.quarantines},
        {"crashed_ago_ms", to_ms(record.crashed_ago)},
        {"quarantined_for_ms", to_ms(record.quarantined_for)}}
        .dump();
}

crash_record decode_record(const std::string& text)
{
    const auto value = parse_json(text);
    crash_record record;
    record.print = fingerprint{value.at("print").get<std::uint64_t>()};
    record.crashes = value.at("crashes").get<std::uint32_t>();
    record.quarantines = value.at("quarantines").get<std::uint32_t>();
    const auto time_at = [&value](const char* name)
    {
        constexpr milliseconds longest = std::chrono::hours{24 * 366};
        return std::clamp(
            milliseconds{value.at(name).get<std::int64_t>()},
            milliseconds::zero(),
            longest);
    };
    record.crashed_ago = time_at("crashed_ago_ms");
    record.quarantined_for = time_at("quarantined_for_ms");
    return record;
}

} // namespace

shared_state::shared_state(
    gossip_driver& gossip, fleet_controller& fleet, crash_watch& crashes)
    : gossip{gossip}
    , fleet{fleet}
    , crashes{crashes}
{
}

void shared_state::tick()
{
    this->share_marks();
    this->share_quarantines();
    for (const auto& entry : this->gossip.take_new_entries())
    {
        this->take(entry);
    }
}

void shared_state::share_marks()
{
    for (const auto& mark : this->fleet.export_marks(this->shared_marks))
    {
        this->gossip.share(
            {std::string{mark_prefix} + mark.server.str(),
             mark.version.value(),
             encode(std::vector{mark}),
             mark_lifetime});
        this->shared_marks = std::max(this->shared_marks, mark.version);
    }
}

void shared_state::share_quarantines()
{
    for (const auto& record : this->crashes.export_records())
    {
        auto& shared = this->shared_quarantines[record.print];
        if (record.crashes <= shared)
        {
            continue;
        }
        shared = record.crashes;
        this->gossip.share(
            {fmt::format("{}{:016x}", quarantine_prefix, record.print.value()),
             record.crashes,
             encode_record(record),
             quarantine_lifetime});
    }
}

void shared_state::take(const shared_entry& entry)
{
    if (entry.key.starts_with(mark_prefix))
    {
        if (const auto marks = decode_marks(entry.value))
        {
            this->fleet.adopt_marks(marks.value());
        }
        return;
    }
    if (!entry.key.starts_with(quarantine_prefix))
    {
        return;
    }
    try
    {
        const auto record = decode_record(entry.value);
        this->shared_quarantines[record.print] = std::max<std::uint64_t>(
            this->shared_quarantines[record.print], record.crashes);
        this->crashes.import_records({record});
    }
    catch (const std::exception&)
    {
        // A peer of another version; what it says of one request can wait.
        return;
    }
}

} // namespace fireflysail
