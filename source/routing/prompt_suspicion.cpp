#include "routing/prompt_suspicion.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <numeric>

namespace fireflysail
{

namespace
{

/// The runs that one crash ends are heard of within this time, whether at this
/// instance or at others.
constexpr duration crash_report_time = std::chrono::seconds{1};

/// Crashes and contents that are kept of one suspect.
constexpr std::size_t max_crashes_kept = 8;

/// Extensions of a quarantine by less than this come from the time that its
/// record took between instances.
constexpr duration min_extension = std::chrono::seconds{1};

prompt_part whole_of(const request_content& content)
{
    return prompt_part{content.whole.value()};
}

/// All parts and the whole content, in ascending order.
std::vector<prompt_part> parts_of(const request_content& content)
{
    std::vector<prompt_part> parts = content.parts;
    parts.push_back(whole_of(content));
    std::ranges::sort(parts);
    const auto [first, last] = std::ranges::unique(parts);
    parts.erase(first, last);
    return parts;
}

std::vector<prompt_part> intersection(
    const std::vector<prompt_part>& one, const std::vector<prompt_part>& other)
{
    std::vector<prompt_part> common;
    std::ranges::set_intersection(one, other, std::back_inserter(common));
    return common;
}

} // namespace

prompt_suspicion::prompt_suspicion(const options& limits)
    : limits{limits}
{
}

std::optional<part_quarantine>
prompt_suspicion::on_crashed(const crashed_run& run, time_point now)
{
    this->forget_old(now);
    const quarantine* const in_force = this->covering(run.content);
    const std::vector<prompt_part> whole{whole_of(run.content)};
    if (in_force != nullptr && in_force->parts != whole)
    {
        // It was in flight when its quarantine began, or is its trial.
        this->explained.push_back({run.server, now, 1});
        return std::nullopt;
    }
    if (this->is_explained(run.server, now))
    {
        return std::nullopt;
    }
    std::vector<prompt_part> shared = run.content.parts;
    std::ranges::sort(shared);
    for (const prompt_part part : parts_of(run.content))
    {
        this->record(part, run, shared, now);
    }
    const auto guilty = this->find_guilty(run.content);
    if (!guilty)
    {
        return std::nullopt;
    }
    auto begun = this->begin_quarantine(this->suspects.at(*guilty).common, now);
    this->explain_crashes(*guilty, now);
    return begun;
}

bool prompt_suspicion::is_explained(
    const server_id& server, time_point now) const
{
    return std::ranges::any_of(
        this->explained,
        [&server, now](const crash& known)
        {
            return known.server == server &&
                   now - known.when < crash_report_time;
        });
}

void prompt_suspicion::record(
    prompt_part part,
    const crashed_run& run,
    const std::vector<prompt_part>& suspects_of_run,
    time_point now)
{
    const bool is_whole = part == whole_of(run.content);
    const std::vector<prompt_part> alone{part};
    const auto& common = is_whole ? alone : suspects_of_run;
    const auto [found, is_new] = this->suspects.try_emplace(part);
    suspect& known = found->second;
    known.common = is_new ? common : intersection(known.common, common);
    if (std::ranges::find(known.contents, run.content.whole) ==
            known.contents.end() &&
        known.contents.size() < max_crashes_kept)
    {
        known.contents.push_back(run.content.whole);
    }
    const double weight = run.answered ? 1 : this->limits.unanswered_weight;
    const auto same = std::ranges::find_if(
        known.crashes,
        [this, &run, now](const crash& counted)
        {
            return counted.server == run.server
                       ? now - counted.when < crash_report_time
                       : now - counted.when < this->limits.common_cause_window;
        });
    if (same != known.crashes.end())
    {
        same->weight = std::max(same->weight, weight);
        return;
    }
    if (known.crashes.size() == max_crashes_kept)
    {
        known.crashes.erase(known.crashes.begin());
    }
    known.crashes.push_back({run.server, now, weight});
}

bool prompt_suspicion::is_guilty(prompt_part part, double threshold) const
{
    const auto found = this->suspects.find(part);
    if (found == this->suspects.end())
    {
        return false;
    }
    const auto& crashes = found->second.crashes;
    const double weight = std::transform_reduce(
        crashes.begin(),
        crashes.end(),
        0.0,
        std::plus{},
        [](const crash& counted)
        {
            return counted.weight;
        });
    return weight >= threshold;
}

std::optional<prompt_part>
prompt_suspicion::find_guilty(const request_content& content) const
{
    std::optional<prompt_part> guilty;
    std::size_t most = 0;
    for (const prompt_part part : content.parts)
    {
        const suspect& known = this->suspects.at(part);
        const bool is_guilty =
            this->is_guilty(part, this->limits.part_threshold) &&
            known.contents.size() >= this->limits.min_contents;
        if (is_guilty && known.crashes.size() > most)
        {
            guilty = part;
            most = known.crashes.size();
        }
    }
    const prompt_part whole = whole_of(content);
    if (!guilty && this->is_guilty(whole, this->limits.whole_threshold))
    {
        guilty = whole;
    }
    return guilty;
}

part_quarantine prompt_suspicion::begin_quarantine(
    const std::vector<prompt_part>& parts, time_point now)
{
    quarantine* known = this->find_quarantine(parts);
    if (known == nullptr)
    {
        // One of fewer parts holds back all that one of more does.
        std::erase_if(
            this->quarantines,
            [&parts](const quarantine& other)
            {
                return std::ranges::includes(other.parts, parts);
            });
        if (this->quarantines.size() >= this->limits.max_quarantines)
        {
            this->quarantines.erase(std::ranges::min_element(
                this->quarantines, {}, &quarantine::until));
        }
        known = &this->quarantines.emplace_back(parts, 0, now, now);
    }
    const duration length = this->length_of(known->count);
    ++known->count;
    known->began = now;
    known->until = std::max(known->until, now + length);
    return {known->parts, known->count, {}, known->until - now};
}

duration prompt_suspicion::length_of(std::uint32_t count) const
{
    using float_seconds = std::chrono::duration<double>;
    const float_seconds length = std::min(
        float_seconds{this->limits.initial_quarantine} *
            std::pow(this->limits.quarantine_growth, count),
        float_seconds{this->limits.max_quarantine});
    return std::chrono::duration_cast<duration>(length);
}

void prompt_suspicion::explain_crashes(prompt_part guilty, time_point now)
{
    const auto found = this->suspects.find(guilty);
    const bool is_cause =
        found != this->suspects.end() &&
        found->second.contents.size() >= this->limits.min_contents;
    if (!is_cause)
    {
        // Of a single content, one of its parts may still be the cause.
        return;
    }
    const std::vector<crash> crashes = found->second.crashes;
    const std::vector<prompt_part> together = found->second.common;
    for (const crash& known : crashes)
    {
        this->explained.push_back({known.server, now, known.weight});
    }
    for (auto& [part, other] : this->suspects)
    {
        if (std::ranges::find(together, part) != together.end())
        {
            continue;
        }
        std::erase_if(
            other.crashes,
            [&crashes](const crash& counted)
            {
                return std::ranges::find(
                           crashes, counted.server, &crash::server) !=
                       crashes.end();
            });
    }
    absl::erase_if(
        this->suspects,
        [](const auto& item)
        {
            return item.second.crashes.empty();
        });
}

begun_parts
prompt_suspicion::on_begun(const request_content& content, time_point now)
{
    begun_parts begun;
    std::ranges::copy_if(
        parts_of(content),
        std::back_inserter(begun.parts),
        [this](prompt_part part)
        {
            return this->suspects.contains(part) ||
                   std::ranges::any_of(
                       this->quarantines,
                       [part](const quarantine& known)
                       {
                           return std::ranges::binary_search(known.parts, part);
                       });
        });
    this->clear(begun, now);
    return begun;
}

void prompt_suspicion::clear(const begun_parts& begun, time_point now)
{
    const time_point when = now - begun.age;
    const auto is_begun = [&begun](prompt_part part)
    {
        return std::ranges::find(begun.parts, part) != begun.parts.end();
    };
    for (const prompt_part part : begun.parts)
    {
        time_point& latest = this->begun_at[part];
        latest = std::max(latest, when);
    }
    absl::erase_if(
        this->suspects,
        [when, &is_begun](const auto& item)
        {
            return is_begun(item.first) &&
                   item.second.crashes.back().when <= when;
        });
    for (auto& [part, known] : this->suspects)
    {
        std::erase_if(
            known.common,
            [part, &is_begun](prompt_part other)
            {
                return other != part && is_begun(other);
            });
    }
    for (quarantine& known : this->quarantines)
    {
        if (known.began <= when)
        {
            std::erase_if(known.parts, is_begun);
        }
    }
    std::erase_if(
        this->quarantines,
        [](const quarantine& known)
        {
            return known.parts.empty();
        });
}

crash_status prompt_suspicion::status_of(
    const request_content& content, time_point now) const
{
    const quarantine* const known = this->covering(content);
    if (known != nullptr && known->until > now)
    {
        return {suspicion_level::quarantined, known->until - now};
    }
    const double suspected = this->limits.part_threshold - 1;
    const bool is_suspect =
        known != nullptr || std::ranges::any_of(
                                content.parts,
                                [this, suspected](prompt_part part)
                                {
                                    return this->is_guilty(part, suspected);
                                });
    return {
        is_suspect ? suspicion_level::suspect : suspicion_level::normal, {}};
}

std::optional<part_quarantine>
prompt_suspicion::begin_trial(const request_content& content, time_point now)
{
    const quarantine* const known = this->covering(content);
    if (known == nullptr || known->until > now)
    {
        return std::nullopt;
    }
    return this->begin_quarantine(known->parts, now);
}

const prompt_suspicion::quarantine*
prompt_suspicion::covering(const request_content& content) const
{
    if (this->quarantines.empty())
    {
        return nullptr;
    }
    const auto parts = parts_of(content);
    const auto found = std::ranges::find_if(
        this->quarantines,
        [&parts](const quarantine& known)
        {
            return std::ranges::includes(parts, known.parts);
        });
    return found == this->quarantines.end() ? nullptr : &*found;
}

prompt_suspicion::quarantine*
prompt_suspicion::find_quarantine(std::span<const prompt_part> parts)
{
    const auto found = std::ranges::find_if(
        this->quarantines,
        [parts](const quarantine& known)
        {
            return std::ranges::equal(known.parts, parts);
        });
    return found == this->quarantines.end() ? nullptr : &*found;
}

prompt_suspicion::import_result prompt_suspicion::import_quarantine(
    const part_quarantine& imported, time_point now)
{
    import_result result;
    const time_point began = now - imported.age;
    std::vector<prompt_part> parts;
    time_point last_begun{};
    for (const prompt_part part : imported.parts)
    {
        const auto begun = this->begun_at.find(part);
        if (begun == this->begun_at.end() || begun->second < began)
        {
            parts.push_back(part);
            continue;
        }
        result.outdated.parts.push_back(part);
        last_begun = std::max(last_begun, begun->second);
    }
    result.outdated.age = now - last_begun;
    const bool is_covered = std::ranges::any_of(
        this->quarantines,
        [&parts](const quarantine& known)
        {
            return known.parts.size() < parts.size() &&
                   std::ranges::includes(parts, known.parts);
        });
    const duration left =
        std::clamp(imported.left, duration{}, this->limits.max_quarantine);
    if (parts.empty() || is_covered || left == duration{})
    {
        return result;
    }
    quarantine* known = this->find_quarantine(parts);
    if (known == nullptr)
    {
        result.is_new = true;
        this->begin_quarantine(parts, now);
        known = this->find_quarantine(parts);
        known->began = began;
        known->until = now + left;
        for (const prompt_part part : parts)
        {
            this->explain_crashes(part, now);
        }
    }
    known->count = std::max(known->count, imported.count);
    known->began = std::max(known->began, began);
    if (now + left > known->until + min_extension)
    {
        known->until = now + left;
    }
    return result;
}

bool prompt_suspicion::has_quarantine(std::span<const prompt_part> parts) const
{
    return std::ranges::any_of(
        this->quarantines,
        [parts](const quarantine& known)
        {
            return std::ranges::equal(known.parts, parts);
        });
}

std::vector<std::vector<prompt_part>>
prompt_suspicion::quarantined_parts() const
{
    std::vector<std::vector<prompt_part>> all;
    std::ranges::transform(
        this->quarantines, std::back_inserter(all), &quarantine::parts);
    return all;
}

std::vector<part_quarantine>
prompt_suspicion::export_quarantines(std::size_t max_count, time_point now)
{
    std::vector<part_quarantine> exported;
    const std::size_t total = this->quarantines.size();
    for (std::size_t looked = 0; looked < total && exported.size() < max_count;
         ++looked)
    {
        const quarantine& known =
            this->quarantines[this->next_export++ % total];
        if (known.until > now)
        {
            exported.push_back(
                {known.parts,
                 known.count,
                 now - known.began,
                 known.until - now});
        }
    }
    return exported;
}

std::size_t prompt_suspicion::quarantine_count(time_point now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->quarantines,
        [now](const quarantine& known)
        {
            return known.until > now;
        }));
}

std::size_t prompt_suspicion::suspect_count() const
{
    return this->suspects.size();
}

bool prompt_suspicion::empty() const
{
    return this->suspects.empty() && this->quarantines.empty();
}

/// Drops what is too old, and the suspects of the longest past once there are
/// too many.
void prompt_suspicion::forget_old(time_point now)
{
    while (!this->explained.empty() &&
           now - this->explained.front().when >= crash_report_time)
    {
        this->explained.pop_front();
    }
    std::erase_if(
        this->quarantines,
        [this, now](const quarantine& known)
        {
            return now >= known.until + this->limits.evidence_lifetime;
        });
    absl::erase_if(
        this->begun_at,
        [this, now](const auto& item)
        {
            return now - item.second >= this->limits.evidence_lifetime;
        });
    const auto last_crash = [](const suspect& known)
    {
        return known.crashes.back().when;
    };
    absl::erase_if(
        this->suspects,
        [this, now, &last_crash](const auto& item)
        {
            return now - last_crash(item.second) >=
                   this->limits.evidence_lifetime;
        });
    while (this->suspects.size() >= this->limits.max_suspects)
    {
        this->suspects.erase(std::ranges::min_element(
            this->suspects,
            {},
            [&last_crash](const auto& item)
            {
                return last_crash(item.second);
            }));
    }
}

} // namespace fireflysail
