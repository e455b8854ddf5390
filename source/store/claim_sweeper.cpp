#include "store/claim_sweeper.hpp"

#include "common/json_text.hpp"
#include "store/claim_codec.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

namespace fireflysail
{

namespace
{

using nlohmann::json;

const object_key& marks_key()
{
    static const object_key key{"claim-retention", "marks"};
    return key;
}

std::string encode(const retention_marks& marks)
{
    json starts = json::array();
    for (const revision start : marks.starts)
    {
        starts.push_back(start.value());
    }
    return json{{"starts", std::move(starts)}}.dump();
}

result<retention_marks> decode(const std::string& value)
{
    const json from = parse_json(value);
    if (!from.is_object() || !from.contains("starts") ||
        !from["starts"].is_array())
    {
        return errc::malformed;
    }
    retention_marks marks;
    for (const json& start : from["starts"])
    {
        if (!start.is_number_unsigned())
        {
            return errc::malformed;
        }
        marks.starts.emplace_back(start.get<std::uint64_t>());
    }
    if (!std::ranges::is_sorted(marks.starts))
    {
        return errc::malformed;
    }
    return marks;
}

} // namespace

claim_sweeper::claim_sweeper(
    const claim_sweeper_options& options,
    store& source,
    ownership owns,
    const clock& time)
    : options{options}
    , source{source}
    , owns{std::move(owns)}
    , time{time}
    , ages{options.retention}
{
}

void claim_sweeper::step()
{
    this->refresh_marks();
    this->add_mark();
    if (this->ages.cutoff() == revision{})
    {
        return;
    }
    const auto shards = std::views::iota(std::size_t{0}, claim_shards);
    const auto owned = std::ranges::find_if(
        shards,
        [this](std::size_t offset)
        {
            return this->owns((this->next_shard + offset) % claim_shards);
        });
    if (owned == shards.end())
    {
        return;
    }
    const std::size_t shard = (this->next_shard + *owned) % claim_shards;
    this->next_shard = (shard + 1) % claim_shards;
    this->sweep(shard);
}

const claim_sweeper_counts& claim_sweeper::counts() const
{
    return this->counters;
}

void claim_sweeper::refresh_marks()
{
    const time_point deadline = this->time.now() + this->options.call_time;
    const auto found = this->source.get(marks_key(), deadline);
    if (!found && found.error() == errc::not_found)
    {
        // Whoever comes second finds the first one's marks next time.
        (void)this->source.create(
            marks_key(), encode(retention_marks{}), deadline);
        return;
    }
    const auto marks = found ? decode(found.value().value) : found.error();
    if (!marks)
    {
        this->counters.failures += 1;
        return;
    }
    this->ages.on_marks(marks.value(), found.value().version, this->time.now());
}

void claim_sweeper::add_mark()
{
    const auto next = this->ages.due(this->time.now());
    if (!next)
    {
        return;
    }
    // If this fails, another instance was first or the next step tries again.
    (void)this->source.update(
        marks_key(),
        encode(*next),
        this->ages.version(),
        this->time.now() + this->options.call_time);
}

void claim_sweeper::sweep(std::size_t shard)
{
    this->counters.lists += 1;
    const auto listed = this->source.list(
        {claim_kind(shard)}, this->time.now() + this->options.call_time);
    if (!listed)
    {
        this->counters.failures += 1;
        return;
    }
    const revision cutoff = this->ages.cutoff();
    const auto old = [cutoff](const stored_object& object)
    {
        return object.version < cutoff;
    };
    for (const stored_object& object :
         listed.value().objects | std::views::filter(old) |
             std::views::take(this->options.removals_per_step))
    {
        const auto removed = this->source.remove(
            object.key,
            object.version,
            this->time.now() + this->options.call_time);
        if (!removed)
        {
            this->counters.failures += 1;
            return;
        }
        this->counters.removed += 1;
    }
}

} // namespace fireflysail
