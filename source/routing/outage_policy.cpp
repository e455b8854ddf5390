#include "routing/outage_policy.hpp"

#include <algorithm>

namespace fireflysail
{

outage_policy::outage_policy(const options& chosen)
    : chosen{chosen}
{
}

void outage_policy::on_pipeline_missing(const model_id& model, time_point now)
{
    this->missing_since.try_emplace(model, now);
}

void outage_policy::on_pipeline_found(const model_id& model)
{
    this->missing_since.erase(model);
}

bool outage_policy::should_wait(
    const model_id& model, duration waited, time_point now) const
{
    const auto since = this->missing_since.find(model);
    const bool is_repair_expected =
        since == this->missing_since.end() ||
        now - since->second < this->chosen.expected_repair_time;
    return is_repair_expected && waited < this->chosen.max_wait;
}

duration outage_policy::retry_delay(
    bool store_is_lost, duration time_left, std::mt19937_64& random) const
{
    const duration shortest = store_is_lost ? this->chosen.delay_without_store
                                            : this->chosen.delay_during_repair;
    std::uniform_real_distribution<double> factor{
        1, this->chosen.max_jitter_factor};
    const std::chrono::duration<double> wanted = shortest * factor(random);
    const std::chrono::duration<double> most =
        std::max(time_left, duration::zero()) *
        this->chosen.max_fraction_of_time_left;
    return std::chrono::duration_cast<duration>(std::min(wanted, most));
}

} // namespace fireflysail
