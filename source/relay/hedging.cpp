#include "relay/hedging.hpp"

#include <fmt/format.h>

#include <iterator>

namespace fireflysail
{

std::string_view name_of(hedge_end end)
{
    switch (end)
    {
    case hedge_end::won:
        return "won";
    case hedge_end::lost:
        return "lost";
    case hedge_end::cancelled:
        return "cancelled";
    }
    return "unknown";
}

hedging::hedging(double share, duration window)
    : share{share}
    , window{window}
{
}

bool hedging::is_enabled() const
{
    return this->share > 0;
}

service_hedging& hedging::of(const service_id& service, time_point now)
{
    const auto found = this->services.find(service);
    if (found != this->services.end())
    {
        return found->second;
    }
    hedge_limit::options bounds;
    bounds.share = this->share;
    bounds.window = this->window;
    return this->services
        .emplace(
            service,
            service_hedging{hedge_policy{{}}, hedge_limit{bounds, now}})
        .first->second;
}

void hedging::on_request(
    const service_id& service, work_kind work, time_point now)
{
    if (this->is_enabled() && work == work_kind::idempotent)
    {
        this->of(service, now).limit.on_request(now);
    }
}

void hedging::count_sent()
{
    ++this->sent;
}

void hedging::count_end(hedge_end end)
{
    ++this->ends.at(static_cast<std::size_t>(end));
}

void hedging::count_refusal(hedge_refusal why)
{
    ++this->refusals.at(static_cast<std::size_t>(why));
}

std::string hedging::to_prometheus(time_point now) const
{
    std::string text;
    if (!this->is_enabled())
    {
        return text;
    }
    auto out = std::back_inserter(text);
    fmt::format_to(out, "fireflysail_hedge_limit {}\n", this->share);
    fmt::format_to(out, "fireflysail_hedges_sent_total {}\n", this->sent);
    for (std::size_t i = 0; i < hedge_ends; ++i)
    {
        fmt::format_to(
            out,
            "fireflysail_hedges_ended_total{{end=\"{}\"}} {}\n",
            name_of(static_cast<hedge_end>(i)),
            this->ends.at(i));
    }
    for (std::size_t i = 0; i < hedge_refusals; ++i)
    {
        fmt::format_to(
            out,
            "fireflysail_hedges_not_sent_total{{reason=\"{}\"}} {}\n",
            name_of(static_cast<hedge_refusal>(i)),
            this->refusals.at(i));
    }
    for (const auto& [service, state] : this->services)
    {
        fmt::format_to(
            out,
            "fireflysail_hedge_share{{service=\"{}\"}} {}\n",
            service.str(),
            state.limit.share_used(now));
    }
    return text;
}

} // namespace fireflysail
