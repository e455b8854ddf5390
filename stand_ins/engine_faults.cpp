#include "engine_faults.hpp"

#include <nlohmann/json.hpp>

namespace fireflysail
{

bool engine_faults::set(std::string_view json)
{
    const auto faults = nlohmann::json::parse(json, nullptr, false);
    if (!faults.is_object())
    {
        return false;
    }
    this->silent = faults.value("silent", this->silent.load());
    this->crossed = faults.value("crossed", this->crossed.load());
    this->refuse = faults.value("refuse", this->refuse.load());
    this->delay_ms = faults.value("delay_ms", this->delay_ms.load());
    this->silent_after =
        faults.value("silent_after", this->silent_after.load());
    this->exit_after = faults.value("exit_after", this->exit_after.load());
    const std::lock_guard lock{this->mutex};
    this->crash_text = faults.value("crash_text", this->crash_text);
    return true;
}

bool engine_faults::crashes_on(std::string_view prompt) const
{
    const std::lock_guard lock{this->mutex};
    return !this->crash_text.empty() &&
           prompt.find(this->crash_text) != std::string_view::npos;
}

} // namespace fireflysail
