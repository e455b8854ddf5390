#include "control/instance_census.hpp"

#include "common/error.hpp"
#include "common/log.hpp"

#include <utility>

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

/// Instances that start together are all counted after this time.
constexpr duration first_count = 3s;

/// Between two counts: instances come and go seldom.
constexpr duration count_interval = 20s;

constexpr duration retry_pause = 2s;

void report_failure(std::string_view what, const std::error_code& error)
{
    log::event(
        log::level::warning,
        log::channel::control,
        "instances_not_counted",
        {{"step", what}, {"error", error.message()}});
}

} // namespace

instance_census::instance_census(
    instance_id self, store& objects, const clock& time)
    : self{std::move(self)}
    , objects{objects}
    , time{time}
{
}

void instance_census::step()
{
    const time_point now = this->time.now();
    if (now < this->next_count)
    {
        return;
    }
    if (!this->registered)
    {
        const auto written = this->objects.create(
            {kind, this->self.str()}, "1", now + short_call_time);
        // An earlier life of this instance may have written it.
        this->registered = written || written.error() == errc::conflict;
        if (!this->registered)
        {
            report_failure("register", written.error());
        }
        this->next_count = now + (this->registered ? first_count : retry_pause);
        return;
    }
    const auto listed = this->objects.list({kind}, now + short_call_time);
    if (!listed)
    {
        report_failure("count", listed.error());
        this->next_count = now + retry_pause;
        return;
    }
    const std::size_t found = listed.value().objects.size();
    if (found != this->counted.exchange(found))
    {
        log::event(
            log::level::info,
            log::channel::control,
            "instances_counted",
            {{"count", found}, {"revision", listed.value().version.value()}});
    }
    this->next_count = now + count_interval;
}

std::size_t instance_census::count() const
{
    return this->counted.load();
}

} // namespace fireflysail
