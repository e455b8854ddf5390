#include "control/edit_outcome.hpp"

namespace fireflysail
{

namespace
{

using nlohmann::json;

json render_mistakes(const std::vector<mistake>& mistakes)
{
    auto rendered = json::array();
    for (const auto& found : mistakes)
    {
        rendered.push_back({{"path", found.path}, {"problem", found.problem}});
    }
    return rendered;
}

struct renderer
{
    json operator()(const edit_accepted& outcome) const
    {
        return {{"outcome", "accepted"}, {"version", outcome.version.value()}};
    }

    json operator()(const edit_conflict& outcome) const
    {
        return {
            {"outcome", "conflict"},
            {"current", json::parse(outcome.current, nullptr, false)}};
    }

    json operator()(const edit_rejected& outcome) const
    {
        return {
            {"outcome", "rejected"},
            {"mistakes", render_mistakes(outcome.mistakes)}};
    }

    json operator()(const edit_not_accepted& outcome) const
    {
        return {
            {"outcome", "not_accepted"}, {"reason", outcome.reason.message()}};
    }

    json operator()(const edit_unknown& outcome) const
    {
        return {
            {"outcome", "unknown"},
            {"mistakes", render_mistakes(outcome.mistakes)},
            {"advice", "send the edit again with the same edit id"}};
    }
};

} // namespace

std::string to_json_text(const edit_outcome& outcome)
{
    return std::visit(renderer{}, outcome).dump();
}

} // namespace fireflysail
