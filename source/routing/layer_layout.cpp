#include "routing/layer_layout.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <numeric>
#include <ranges>
#include <tuple>
#include <utility>

namespace fireflysail
{

namespace
{

layer_range make_range(std::uint32_t first, std::uint32_t last)
{
    return {layer_index{first}, layer_index{last}};
}

/// Plans one zone. Works on a copy of its engines and applies each step to it.
class zone_layout
{
public:
    zone_layout(
        std::vector<layout_engine> members,
        std::uint32_t layers,
        const layout_options& options)
        : members{std::move(members)}
        , layers{layers}
        , options{options}
    {
        std::ranges::sort(this->members, {}, &layout_engine::id);
    }

    std::vector<layout_step> run()
    {
        const auto is_placed = [](const layout_engine& candidate)
        {
            return candidate.held.has_value();
        };
        if (!this->can_hold_model())
        {
            return {};
        }
        if (std::ranges::none_of(this->members, is_placed))
        {
            for (const group& part : this->partition_by_memory(this->copies()))
            {
                this->split(part, 0, this->layers);
            }
            return std::move(this->steps);
        }
        this->fill_gaps();
        for (std::uint32_t copy = 2; copy <= this->copies(); ++copy)
        {
            this->complete_copy(copy);
        }
        this->assign_unused();
        return std::move(this->steps);
    }

private:
    using group = std::vector<layout_engine*>;

    /// Layers that fit into the engines' memory, with at most `most` for each.
    double capacity(double most) const
    {
        return std::accumulate(
            this->members.begin(),
            this->members.end(),
            0.0,
            [most](double total, const layout_engine& member)
            {
                return total + std::min<double>(member.max_layers(), most);
            });
    }

    bool can_hold_model() const
    {
        return this->capacity(this->layers) >= this->layers;
    }

    /// As each engine holds one range, memory beyond what one copy needs adds
    /// no copy: there are never more copies than engines.
    std::uint32_t copies() const
    {
        const double one_copy = this->layers / this->options.copies_fill;
        const double room =
            this->capacity(one_copy) * this->options.copies_fill;
        return std::max(1U, static_cast<std::uint32_t>(room / this->layers));
    }

    /// Divides the engines into groups of similar total memory.
    std::vector<group> partition_by_memory(std::uint32_t count)
    {
        std::vector<layout_engine*> largest_first;
        for (layout_engine& member : this->members)
        {
            largest_first.push_back(&member);
        }
        std::ranges::sort(
            largest_first,
            [](const layout_engine* a, const layout_engine* b)
            {
                return std::tie(b->memory, a->id) < std::tie(a->memory, b->id);
            });
        std::vector<group> groups(count);
        std::vector<double> memory(count, 0);
        for (layout_engine* member : largest_first)
        {
            const auto least = std::ranges::min_element(memory);
            const auto index = static_cast<std::size_t>(least - memory.begin());
            groups[index].push_back(member);
            *least += member->memory;
        }
        for (group& part : groups)
        {
            std::ranges::sort(part, {}, &layout_engine::id);
        }
        return groups;
    }

    /// Assigns all layers that no engine holds. Each iteration fills one gap;
    /// the number of gaps is bounded by the number of layers.
    void fill_gaps()
    {
        for (std::uint32_t iteration = 0; iteration < this->layers; ++iteration)
        {
            const auto gap = this->first_gap(1);
            if (!gap || !this->fill(*gap))
            {
                return;
            }
        }
    }

    /// Assigns the layers that have fewer than `copy` holders, as far as this
    /// takes no layers from another copy.
    void complete_copy(std::uint32_t copy)
    {
        for (std::uint32_t iteration = 0; iteration < this->layers; ++iteration)
        {
            const auto gap = this->first_gap(copy);
            if (!gap || !(this->fill_cheaply(*gap) || this->shift_to(*gap)))
            {
                return;
            }
        }
    }

    std::uint32_t limit(const layout_engine& member) const
    {
        return static_cast<std::uint32_t>(std::floor(std::min<double>(
            member.memory * this->options.repair_fill, this->layers)));
    }

    std::uint32_t spare(const layout_engine& member) const
    {
        const std::uint32_t held = member.held ? member.held->size() : 0;
        const std::uint32_t most = this->limit(member);
        return most > held ? most - held : 0;
    }

    void place(layout_engine& member, layer_range range)
    {
        if (member.held == range)
        {
            return;
        }
        member.held = range;
        std::erase_if(
            this->steps,
            [&member](const layout_step& step)
            {
                return step.server == member.id;
            });
        this->steps.push_back({member.id, range});
    }

    /// Splits [first, last) among the group, in its order, minimizing the
    /// highest memory use of an engine.
    void split(const group& among, std::uint32_t first, std::uint32_t last)
    {
        std::vector<std::uint32_t> sizes(among.size(), 0);
        const auto fill_with_one_more = [&](std::size_t index)
        {
            return (sizes[index] + 1.0) / among[index]->memory;
        };
        for (std::uint32_t i = first; i < last; ++i)
        {
            const auto emptiest = std::ranges::min_element(
                std::views::iota(std::size_t{0}, among.size()),
                {},
                fill_with_one_more);
            if (fill_with_one_more(*emptiest) > 1)
            {
                break;
            }
            ++sizes[*emptiest];
        }
        std::uint32_t at = first;
        for (std::size_t index = 0; index < among.size(); ++index)
        {
            if (sizes[index] > 0)
            {
                this->place(*among[index], make_range(at, at + sizes[index]));
                at += sizes[index];
            }
        }
    }

    /// First contiguous range of layers with fewer than `holders` holders.
    std::optional<layer_range> first_gap(std::uint32_t holders) const
    {
        std::vector<std::uint32_t> held(this->layers, 0);
        for (const layout_engine& member : this->members)
        {
            if (!member.held)
            {
                continue;
            }
            const auto end = std::min(member.held->last.value(), this->layers);
            for (auto i = member.held->first.value(); i < end; ++i)
            {
                ++held[i];
            }
        }
        const auto is_short = [holders](std::uint32_t count)
        {
            return count < holders;
        };
        const auto begin = std::ranges::find_if(held, is_short);
        if (begin == held.end())
        {
            return std::nullopt;
        }
        const auto end = std::find_if_not(begin, held.end(), is_short);
        return make_range(
            static_cast<std::uint32_t>(begin - held.begin()),
            static_cast<std::uint32_t>(end - held.begin()));
    }

    bool fill(layer_range gap)
    {
        return this->fill_cheaply(gap) || this->shift_to(gap) ||
               this->reassign_around(gap) || this->reassign_all();
    }

    bool fill_cheaply(layer_range gap)
    {
        return this->fill_with_unused(gap) || this->fill_with_neighbours(gap);
    }

    bool fill_with_unused(layer_range gap)
    {
        const auto found = std::ranges::find_if(
            this->members,
            [this, gap](const layout_engine& member)
            {
                return !member.held && this->limit(member) >= gap.size();
            });
        if (found == this->members.end())
        {
            return false;
        }
        this->place(*found, gap);
        return true;
    }

    /// Finds the engine with the most free memory whose range satisfies
    /// `touches`: it must end or begin at the gap. An engine whose range
    /// overlaps the gap belongs to another copy, which would lose layers.
    template <class Touches>
    layout_engine* neighbour(Touches&& touches)
    {
        layout_engine* best = nullptr;
        for (layout_engine& member : this->members)
        {
            const bool better =
                best == nullptr || this->spare(member) > this->spare(*best);
            if (member.held && touches(*member.held) && better)
            {
                best = &member;
            }
        }
        return best;
    }

    bool fill_with_neighbours(layer_range gap)
    {
        layout_engine* before = this->neighbour(
            [gap](const layer_range& range)
            {
                return range.last == gap.first;
            });
        layout_engine* after = this->neighbour(
            [gap](const layer_range& range)
            {
                return range.first == gap.last;
            });
        const std::uint32_t room_before =
            before == nullptr ? 0 : this->spare(*before);
        const std::uint32_t room_after =
            after == nullptr ? 0 : this->spare(*after);
        if (room_before + room_after < gap.size())
        {
            return false;
        }
        const auto fair = static_cast<std::uint32_t>(std::lround(
            static_cast<double>(gap.size()) * room_before /
            (room_before + room_after)));
        const std::uint32_t to_before = std::clamp(
            fair,
            gap.size() - std::min(gap.size(), room_after),
            std::min(gap.size(), room_before));
        const std::uint32_t cut = gap.first.value() + to_before;
        if (to_before > 0)
        {
            this->place(*before, make_range(before->held->first.value(), cut));
        }
        if (to_before < gap.size())
        {
            this->place(*after, make_range(cut, after->held->last.value()));
        }
        return true;
    }

    /// Shifts layers between engines whose ranges adjoin, until those next to
    /// the gap have room for it. The engines cover the same layers as before
    /// and the gap, so no layer loses a holder.
    bool shift_to(layer_range gap)
    {
        group chain;
        layer_range span = gap;
        std::uint32_t room = 0;
        while (room < span.size())
        {
            layout_engine* before = this->neighbour(
                [span](const layer_range& range)
                {
                    return range.last == span.first && range.size() > 0;
                });
            layout_engine* after = this->neighbour(
                [span](const layer_range& range)
                {
                    return range.first == span.last && range.size() > 0;
                });
            if (before == nullptr && after == nullptr)
            {
                return false;
            }
            const bool is_before_next =
                after == nullptr ||
                (before != nullptr &&
                 this->spare(*before) > this->spare(*after));
            layout_engine* next = is_before_next ? before : after;
            chain.insert(is_before_next ? chain.begin() : chain.end(), next);
            span.first = std::min(span.first, next->held->first);
            span.last = std::max(span.last, next->held->last);
            room += this->limit(*next);
        }
        this->split(chain, span.first.value(), span.last.value());
        return true;
    }

    /// Reassigns layers among the smallest set of consecutive engines around
    /// the gap that has enough memory.
    bool reassign_around(layer_range gap)
    {
        const group placed = this->in_order();
        const auto middle = std::ranges::find_if(
            placed,
            [gap](const layout_engine* member)
            {
                return member->held->first >= gap.first;
            });
        auto from = middle;
        auto to = middle;
        while (from != placed.begin() || to != placed.end())
        {
            const bool left_next =
                from != placed.begin() &&
                (to == placed.end() || middle - from <= to - middle);
            left_next ? --from : ++to;
            const group window(from, to);
            const auto span = this->span_of(window, gap);
            const auto room = std::accumulate(
                window.begin(),
                window.end(),
                std::uint32_t{0},
                [this](std::uint32_t sum, const layout_engine* member)
                {
                    return sum + this->limit(*member);
                });
            if (room >= span.size())
            {
                this->split(window, span.first.value(), span.last.value());
                return true;
            }
        }
        return false;
    }

    /// Reassigns one copy of the model to all engines that hold layers.
    bool reassign_all()
    {
        this->split(this->in_order(), 0, this->layers);
        return !this->first_gap(1);
    }

    /// Engines that hold layers, ordered by their first layer.
    group in_order()
    {
        group placed;
        for (layout_engine& member : this->members)
        {
            if (member.held)
            {
                placed.push_back(&member);
            }
        }
        std::ranges::sort(
            placed,
            [](const layout_engine* a, const layout_engine* b)
            {
                return a->held->first < b->held->first;
            });
        return placed;
    }

    static layer_range span_of(const group& window, layer_range gap)
    {
        auto first = gap.first;
        auto last = gap.last;
        for (const layout_engine* member : window)
        {
            first = std::min(first, member->held->first);
            last = std::max(last, member->held->last);
        }
        return {first, last};
    }

    /// Assigns each unused engine layers of the engine with the highest memory
    /// use among those whose range no other engine holds.
    void assign_unused()
    {
        for (layout_engine& empty : this->members)
        {
            if (empty.held || empty.max_layers() == 0)
            {
                continue;
            }
            std::map<layer_range, int> holders;
            for (const layout_engine& member : this->members)
            {
                if (member.held)
                {
                    ++holders[*member.held];
                }
            }
            const auto fullest = std::ranges::max_element(
                this->members,
                {},
                [&holders](const layout_engine& member)
                {
                    const bool alone =
                        member.held && holders.at(*member.held) == 1;
                    return alone ? static_cast<double>(member.held->size()) /
                                       member.memory
                                 : 0.0;
                });
            if (!fullest->held)
            {
                return;
            }
            const auto first = fullest->held->first.value();
            const auto size =
                std::min(fullest->held->size(), this->limit(empty));
            this->place(empty, make_range(first, first + size));
        }
    }

    std::vector<layout_engine> members;
    const std::uint32_t layers;
    const layout_options& options;
    std::vector<layout_step> steps;
};

} // namespace

std::uint32_t layout_engine::max_layers() const
{
    constexpr double most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::min(this->memory, most));
}

std::vector<layout_step> plan_layout(
    const std::vector<layout_engine>& engines,
    std::uint32_t layers,
    const layout_options& options)
{
    std::map<zone_id, std::vector<layout_engine>> zones;
    for (const layout_engine& candidate : engines)
    {
        zones[candidate.zone].push_back(candidate);
    }
    std::vector<layout_step> steps;
    for (auto& [zone, members] : zones)
    {
        auto of_zone = zone_layout{std::move(members), layers, options}.run();
        std::ranges::move(of_zone, std::back_inserter(steps));
    }
    return steps;
}

} // namespace fireflysail
