#include "routing/server_backoff.hpp"

#include <algorithm>

namespace fireflysail
{

server_backoff::server_backoff(const clock& time, const options& chosen)
    : time{time}
    , chosen{chosen}
{
}

bool server_backoff::on_refusal(
    const server_id& server, std::uint64_t boot, duration wait, bool was_full)
{
    const absl::MutexLock lock{&this->mutex};
    const time_point now = this->time.now();
    this->forget_ended(now);
    if (this->records.size() >= max_servers && !this->records.contains(server))
    {
        return false;
    }
    record& known = this->records[server];
    const bool is_new = known.boot != boot || known.until <= now;
    known = {
        boot,
        now + std::clamp(wait, duration::zero(), this->chosen.longest),
        was_full};
    return is_new;
}

bool server_backoff::on_unreadable(const server_id& server)
{
    const absl::MutexLock lock{&this->mutex};
    return this->unreadable.size() < max_servers &&
           this->unreadable.insert(server).second;
}

void server_backoff::on_boot(const server_id& server, std::uint64_t boot)
{
    const absl::MutexLock lock{&this->mutex};
    const auto known = this->records.find(server);
    if (known != this->records.end() && known->second.boot != boot)
    {
        this->records.erase(known);
    }
}

std::optional<time_point> server_backoff::until(const server_id& server) const
{
    const absl::MutexLock lock{&this->mutex};
    const auto known = this->records.find(server);
    if (known == this->records.end() || known->second.until <= this->time.now())
    {
        return std::nullopt;
    }
    return known->second.until;
}

std::vector<server_id> server_backoff::closed() const
{
    const absl::MutexLock lock{&this->mutex};
    const time_point now = this->time.now();
    std::vector<server_id> servers;
    for (const auto& [server, known] : this->records)
    {
        if (now < known.until)
        {
            servers.push_back(server);
        }
    }
    return servers;
}

std::vector<server_id> server_backoff::returning(std::mt19937_64& random) const
{
    const absl::MutexLock lock{&this->mutex};
    const time_point now = this->time.now();
    std::vector<server_id> servers;
    for (const auto& [server, known] : this->records)
    {
        const double share =
            to_seconds(now - known.until) / to_seconds(this->chosen.ramp);
        const bool returns = known.was_full && share >= 0 && share < 1;
        if (returns && !std::bernoulli_distribution{share}(random))
        {
            servers.push_back(server);
        }
    }
    return servers;
}

std::size_t server_backoff::count() const
{
    const absl::MutexLock lock{&this->mutex};
    return this->records.size();
}

void server_backoff::forget_ended(time_point now)
{
    absl::erase_if(
        this->records,
        [&](const auto& entry)
        {
            const record& known = entry.second;
            const duration ramp =
                known.was_full ? this->chosen.ramp : duration::zero();
            return now >= known.until + ramp;
        });
}

} // namespace fireflysail
