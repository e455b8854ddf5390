#include "routing/aligned_pipelines.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <queue>
#include <utility>

namespace fireflysail
{

namespace
{

/// Maximum flow from the first boundary to the last, in which every engine is
/// an edge of capacity one between the ends of its range.
class engine_flow
{
public:
    explicit engine_flow(const stage_graph& graph)
        : graph{graph}
        , is_used(graph.engines.size(), false)
        , edges(graph.boundaries.size())
    {
        for (const std::size_t e : this->fastest_first())
        {
            const edge found = this->edge_of(e);
            this->edges[found.from].push_back(e);
            this->edges[found.to].push_back(e);
        }
    }

    void maximize()
    {
        while (this->augment())
        {
        }
    }

    /// Removes one path of used engines; empty when none is left.
    std::vector<path_part> take_path()
    {
        std::vector<path_part> path;
        std::size_t at = 0;
        while (at != this->target())
        {
            const auto next = std::ranges::find_if(
                this->edges[at],
                [this, at](std::size_t e)
                {
                    return this->is_used[e] && this->edge_of(e).from == at;
                });
            if (next == this->edges[at].end())
            {
                return {};
            }
            const edge taken = this->edge_of(*next);
            this->is_used[*next] = false;
            path.push_back({*next, taken.from, taken.to});
            at = taken.to;
        }
        return path;
    }

private:
    /// Boundaries at which the range of an engine begins and ends.
    struct edge
    {
        std::size_t from = 0;
        std::size_t to = 0;
    };

    std::size_t target() const
    {
        return this->graph.boundaries.size() - 1;
    }

    std::size_t boundary_at(layer_index layer) const
    {
        const auto found =
            std::ranges::lower_bound(this->graph.boundaries, layer.value());
        return static_cast<std::size_t>(found - this->graph.boundaries.begin());
    }

    edge edge_of(std::size_t engine) const
    {
        const layer_range& held = this->graph.engines[engine].layers;
        return {this->boundary_at(held.first), this->boundary_at(held.last)};
    }

    std::vector<std::size_t> fastest_first() const
    {
        std::vector<std::size_t> order(this->graph.engines.size());
        std::iota(order.begin(), order.end(), std::size_t{0});
        std::ranges::sort(
            order,
            {},
            [this](std::size_t e)
            {
                return std::pair{this->graph.engines[e].layer_time, e};
            });
        return order;
    }

    /// Adds one path, which may take back engines from earlier ones. Returns
    /// false if there is none.
    bool augment()
    {
        std::vector<std::optional<std::size_t>> came_by(
            this->graph.boundaries.size());
        std::queue<std::size_t> open;
        open.push(0);
        while (!open.empty() && !came_by[this->target()])
        {
            const std::size_t at = open.front();
            open.pop();
            for (const std::size_t e : this->edges[at])
            {
                const edge along = this->edge_of(e);
                const bool is_forward = along.from == at;
                const std::size_t next = is_forward ? along.to : along.from;
                if (this->is_used[e] == is_forward || next == 0 ||
                    came_by[next])
                {
                    continue;
                }
                came_by[next] = e;
                open.push(next);
            }
        }
        if (!came_by[this->target()])
        {
            return false;
        }
        for (std::size_t at = this->target(); at != 0;)
        {
            const std::size_t e = *came_by[at];
            const edge along = this->edge_of(e);
            this->is_used[e] = !this->is_used[e];
            at = along.to == at ? along.from : along.to;
        }
        return true;
    }

    const stage_graph& graph;
    std::vector<bool> is_used;
    /// By boundary: engines whose range begins or ends there.
    std::vector<std::vector<std::size_t>> edges;
};

} // namespace

std::vector<std::vector<path_part>>
find_aligned_pipelines(const stage_graph& graph)
{
    std::vector<std::vector<path_part>> found;
    if (graph.boundaries.size() < 2)
    {
        return found;
    }
    engine_flow flow{graph};
    flow.maximize();
    for (auto path = flow.take_path(); !path.empty(); path = flow.take_path())
    {
        found.push_back(std::move(path));
    }
    return found;
}

} // namespace fireflysail
