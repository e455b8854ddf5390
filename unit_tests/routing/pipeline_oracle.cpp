#include "routing/pipeline_oracle.hpp"

#include <algorithm>
#include <set>

namespace fireflysail
{

namespace
{

class path_enumeration
{
public:
    explicit path_enumeration(const stage_graph& graph)
        : graph{graph}
    {
    }

    std::vector<std::vector<path_part>> run()
    {
        this->extend(0);
        return std::move(this->found);
    }

private:
    // NOLINTNEXTLINE(misc-no-recursion)
    void extend(std::size_t boundary)
    {
        if (boundary == this->graph.segments())
        {
            this->found.push_back(this->parts);
            return;
        }
        for (std::size_t e = 0; e < this->graph.engines.size(); ++e)
        {
            const engine_slot slot = this->graph.engines[e].slot;
            if (!this->used.insert(slot).second)
            {
                continue;
            }
            this->parts.push_back({e, boundary, boundary});
            for (std::size_t s = boundary;
                 s < this->graph.segments() && this->holds(e, s);
                 ++s)
            {
                this->parts.back().last = s + 1;
                this->extend(s + 1);
            }
            this->parts.pop_back();
            this->used.erase(slot);
        }
    }

    bool holds(std::size_t engine, std::size_t segment) const
    {
        const layer_range& layers = this->graph.engines[engine].layers;
        return layers.first.value() <= this->graph.boundaries[segment] &&
               this->graph.boundaries[segment + 1] <= layers.last.value();
    }

    const stage_graph& graph;
    std::set<engine_slot> used;
    std::vector<path_part> parts;
    std::vector<std::vector<path_part>> found;
};

/// Dense simplex tableau: maximizes the sum of x for rows * x <= 1, x >= 0.
class simplex
{
public:
    simplex(std::size_t rows, std::size_t columns)
        : rows{rows}
        , width{columns + rows + 1}
        , table(rows + 1, std::vector<double>(this->width, 0))
    {
        for (std::size_t r = 0; r < rows; ++r)
        {
            this->table[r][columns + r] = 1;
            this->table[r].back() = 1;
        }
        std::fill_n(this->table[rows].begin(), columns, -1.0);
    }

    double& at(std::size_t row, std::size_t column)
    {
        return this->table[row][column];
    }

    double solve()
    {
        constexpr double tolerance = 1e-9;
        while (true)
        {
            const auto& gains = this->table[this->rows];
            // Bland's rule: take the first improving column, to prevent
            // cycling.
            const auto entering = std::find_if(
                gains.begin(),
                gains.end() - 1,
                [](double gain)
                {
                    return gain < -tolerance;
                });
            if (entering == gains.end() - 1)
            {
                return gains.back();
            }
            this->pivot(static_cast<std::size_t>(entering - gains.begin()));
        }
    }

private:
    void pivot(std::size_t column)
    {
        std::size_t leaving = 0;
        double least = std::numeric_limits<double>::infinity();
        for (std::size_t r = 0; r < this->rows; ++r)
        {
            const double ratio = this->table[r].back() / this->table[r][column];
            if (this->table[r][column] > 1e-12 && ratio < least)
            {
                least = ratio;
                leaving = r;
            }
        }
        const double head = this->table[leaving][column];
        for (double& cell : this->table[leaving])
        {
            cell /= head;
        }
        for (std::size_t r = 0; r <= this->rows; ++r)
        {
            const double factor = this->table[r][column];
            if (r == leaving || factor == 0)
            {
                continue;
            }
            for (std::size_t c = 0; c < this->width; ++c)
            {
                this->table[r][c] -= factor * this->table[leaving][c];
            }
        }
    }

    std::size_t rows;
    std::size_t width;
    std::vector<std::vector<double>> table;
};

double nanoseconds(duration time)
{
    return std::chrono::duration<double, std::nano>{time}.count();
}

double layers_of(const stage_graph& graph, const path_part& part)
{
    return graph.boundaries[part.last] - graph.boundaries[part.first];
}

} // namespace

std::vector<std::vector<path_part>> all_paths(const stage_graph& graph)
{
    return path_enumeration{graph}.run();
}

double cost_of(const stage_graph& graph, const std::vector<path_part>& parts)
{
    constexpr double change = 100'000;
    double cost = 0;
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        const graph_engine& holder = graph.engines[parts[i].engine];
        cost += layers_of(graph, parts[i]) * nanoseconds(holder.layer_time);
        if (i > 0)
        {
            const graph_engine& before = graph.engines[parts[i - 1].engine];
            cost += change + nanoseconds(graph.link(before.zone, holder.zone));
        }
    }
    return cost;
}

double largest_flow(const stage_graph& graph)
{
    const auto paths = all_paths(graph);
    simplex problem{graph.engines.size(), paths.size()};
    for (std::size_t column = 0; column < paths.size(); ++column)
    {
        for (const path_part& part : paths[column])
        {
            const graph_engine& holder = graph.engines[part.engine];
            const std::chrono::duration<double> each = holder.layer_time;
            problem.at(part.engine, column) +=
                layers_of(graph, part) * each.count() / holder.batch;
        }
    }
    // The use per unit of flow is tiny compared to the limit of 1: the flow is
    // in streams.
    return paths.empty() ? 0 : problem.solve();
}

} // namespace fireflysail
