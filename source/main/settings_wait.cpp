#include "main/settings_wait.hpp"

#include "common/log.hpp"

namespace fireflysail
{

namespace
{

using namespace std::chrono_literals;

constexpr duration longest_wait = 5s;
constexpr duration pause = 100ms;

} // namespace

node_settings_outcome await_node_settings(
    const std::function<node_settings_outcome()>& read,
    const clock& time,
    const std::function<void(duration)>& sleep,
    const std::function<bool()>& is_stopping)
{
    const time_point began = time.now();
    bool told = false;
    while (true)
    {
        auto outcome = read();
        const auto* mistakes =
            std::get_if<std::vector<settings_mistake>>(&outcome);
        const duration waited = time.now() - began;
        if (mistakes == nullptr || waited >= longest_wait || is_stopping())
        {
            return outcome;
        }
        if (!told)
        {
            told = true;
            log_mistakes(*mistakes);
            log::event(
                log::level::warning,
                log::channel::settings,
                "waiting_for_settings",
                {{"mistakes", mistakes->size()},
                 {"longest_s", to_seconds(longest_wait)}});
        }
        sleep(pause);
    }
}

void log_mistakes(const std::vector<settings_mistake>& mistakes)
{
    for (const auto& mistake : mistakes)
    {
        log::event(
            log::level::error,
            log::channel::settings,
            "settings_mistake",
            {{"path", mistake.path}, {"reason", mistake.reason}});
    }
}

} // namespace fireflysail
