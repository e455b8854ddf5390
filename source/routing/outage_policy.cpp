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
    const bool is_repaired_soon =
        since == this->missing_since.end() ||
        now - since->second < this->chosen.usual_repair;
    return is_repaired_soon && waited < this->chosen.longest_wait;
}

duration outage_policy::retry_delay(
    bool store_is_lost, duration time_left, std::mt19937_64& random) const
{
    const duration shortest =
        store_is_lost ? this->chosen.later : this->chosen.soon;
    std::uniform_real_distribution<double> factor{1, this->chosen.spread};
    const std::chrono::duration<double> wanted = shortest * factor(random);
    const std::chrono::duration<double> most =
        std::max(time_left, duration::zero()) * this->chosen.most_of_time_left;
    return std::chrono::duration_cast<duration>(std::min(wanted, most));
}

} // namespace fireflysail
