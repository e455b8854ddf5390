#include "main/load_report.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <iterator>
#include <system_error>
#include <vector>

namespace fireflysail
{

namespace
{

constexpr std::string_view prefix = "fireflysail_demand_";
constexpr int percent = 100;

struct sample
{
    std::string_view name;
    std::map<std::string, std::string, std::less<>> labels;
    double value = 0;
};

void skip_blanks(std::string_view& text)
{
    text.remove_prefix(std::min(text.find_first_not_of(" \t"), text.size()));
}

template <typename Number>
bool read_number(std::string_view text, Number& value)
{
    text.remove_prefix(text.starts_with('+') ? 1 : 0);
    const auto read =
        std::from_chars(text.data(), text.data() + text.size(), value);
    return read.ec == std::errc{} && read.ptr == text.data() + text.size();
}

/// Takes `expected` and blanks before it off `text`; false if it is not there.
bool take(std::string_view& text, char expected)
{
    skip_blanks(text);
    if (!text.starts_with(expected))
    {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

std::string_view take_name(std::string_view& text)
{
    skip_blanks(text);
    const auto end = std::ranges::find_if_not(
        text,
        [](unsigned char letter)
        {
            return std::isalnum(letter) != 0 || letter == '_' || letter == ':';
        });
    const auto length = static_cast<std::size_t>(end - text.begin());
    const auto name = text.substr(0, length);
    text.remove_prefix(length);
    return name;
}

/// Control characters could change what a terminal shows.
char make_printable(char letter)
{
    const bool is_control =
        std::iscntrl(static_cast<unsigned char>(letter)) != 0;
    return is_control ? '?' : letter;
}

/// Takes a value up to its closing quote.
std::optional<std::string> take_quoted(std::string_view& text)
{
    if (!take(text, '"'))
    {
        return std::nullopt;
    }
    std::string value;
    while (!text.empty())
    {
        char letter = text.front();
        text.remove_prefix(1);
        if (letter == '"')
        {
            return value;
        }
        if (letter == '\\' && !text.empty())
        {
            letter = text.front() == 'n' ? '\n' : text.front();
            text.remove_prefix(1);
        }
        value.push_back(make_printable(letter));
    }
    return std::nullopt;
}

std::optional<sample> parse_sample(std::string_view line)
{
    sample result;
    result.name = take_name(line);
    if (take(line, '{'))
    {
        while (!take(line, '}'))
        {
            const auto label = take_name(line);
            if (label.empty() || !take(line, '='))
            {
                return std::nullopt;
            }
            auto value = take_quoted(line);
            if (!value)
            {
                return std::nullopt;
            }
            result.labels.emplace(label, std::move(*value));
            take(line, ',');
        }
    }
    skip_blanks(line);
    // A timestamp may follow.
    const auto number = line.substr(0, line.find_first_of(" \t\r"));
    if (result.name.empty() || !read_number(number, result.value))
    {
        return std::nullopt;
    }
    return result;
}

double* find_field(load_row& row, std::string_view name)
{
    if (name == "in_flight")
    {
        return &row.in_flight;
    }
    if (name == "arrivals_per_second")
    {
        return &row.arrivals_per_second;
    }
    return name == "refused_per_second" ? &row.refused_per_second : nullptr;
}

void add_sample(load_report& report, const sample& read)
{
    const auto name = read.name.substr(prefix.size());
    if (name == "view_age_seconds")
    {
        report.view_age_seconds = read.value;
    }
    if (name == "covered_share")
    {
        report.covered_share = read.value;
    }
    load_row single;
    const double* field = find_field(single, name);
    if (field == nullptr)
    {
        return;
    }
    const auto workspace = read.labels.find("workspace");
    const auto service = read.labels.find("service");
    const auto rank = read.labels.find("rank");
    int rank_number = 0;
    if (workspace != read.labels.end())
    {
        *find_field(report.workspaces[workspace->second], name) += read.value;
    }
    else if (
        service != read.labels.end() && rank != read.labels.end() &&
        read_number(rank->second, rank_number))
    {
        auto& row = report.services[{service->second, rank_number}];
        *find_field(row, name) += read.value;
    }
}

using table_line = std::vector<std::string>;

table_line make_line(table_line names, const load_row& row)
{
    names.push_back(fmt::format("{:.1f}", row.in_flight));
    names.push_back(fmt::format("{:.1f}", row.arrivals_per_second));
    names.push_back(fmt::format("{:.1f}", row.refused_per_second));
    return names;
}

/// The first column is aligned to the left, the others to the right.
std::string format_table(const std::vector<table_line>& lines)
{
    std::vector<std::size_t> widths(lines.front().size(), 0);
    for (const auto& line : lines)
    {
        std::ranges::transform(
            line,
            widths,
            widths.begin(),
            [](const std::string& cell, std::size_t width)
            {
                return std::max(cell.size(), width);
            });
    }
    std::string text;
    for (const auto& line : lines)
    {
        fmt::format_to(
            std::back_inserter(text), "{:<{}}", line.front(), widths.front());
        for (std::size_t i = 1; i < line.size(); ++i)
        {
            fmt::format_to(
                std::back_inserter(text), "  {:>{}}", line[i], widths[i]);
        }
        text += '\n';
    }
    return text;
}

} // namespace

load_report parse_load_report(std::string_view metrics)
{
    load_report report;
    while (!metrics.empty())
    {
        const auto end = std::min(metrics.find('\n'), metrics.size());
        const auto line = metrics.substr(0, end);
        metrics.remove_prefix(std::min(end + 1, metrics.size()));
        if (!line.starts_with(prefix))
        {
            continue;
        }
        if (const auto read = parse_sample(line))
        {
            report.is_enabled = true;
            add_sample(report, *read);
        }
    }
    return report;
}

std::string format_load_report(const load_report& report)
{
    std::string text = fmt::format(
        "view: {:.1f} s old, covers {:.0f}% of the instances\n",
        report.view_age_seconds.value_or(0),
        report.covered_share.value_or(0) * percent);
    if (report.services.empty() && report.workspaces.empty())
    {
        text += "no requests\n";
    }
    if (!report.services.empty())
    {
        std::vector<table_line> lines{
            {"service", "rank", "in flight", "arrivals/s", "refused/s"}};
        for (const auto& [key, row] : report.services)
        {
            lines.push_back(
                make_line({key.first, fmt::format("{}", key.second)}, row));
        }
        text += '\n' + format_table(lines);
    }
    if (!report.workspaces.empty())
    {
        std::vector<table_line> lines{
            {"workspace", "in flight", "arrivals/s", "refused/s"}};
        for (const auto& [name, row] : report.workspaces)
        {
            lines.push_back(make_line({name.empty() ? "(others)" : name}, row));
        }
        text += '\n' + format_table(lines);
    }
    return text;
}

std::optional<std::string> find_missing_load(const load_report& report)
{
    if (!report.is_enabled)
    {
        return "the instance does not count the demand of its fleet: no route "
               "or workspace has a rank of its own, and the accelerators are "
               "of fewer than three speed classes";
    }
    const auto is_known = [](const std::optional<double>& value)
    {
        return value && std::isfinite(*value) && *value >= 0;
    };
    if (!is_known(report.view_age_seconds) || !is_known(report.covered_share) ||
        *report.covered_share == 0)
    {
        return "the instance has no view of its fleet's demand: it has heard "
               "from less than half of the other instances in the last 2 s, "
               "and decides by its own observations";
    }
    return std::nullopt;
}

} // namespace fireflysail
