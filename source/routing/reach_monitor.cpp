#include "routing/reach_monitor.hpp"

namespace fireflysail
{

namespace
{

/// The loss of a single server looks the same from all instances.
constexpr std::size_t min_asked = 2;

} // namespace

reach_monitor::reach_monitor(const options& chosen)
    : chosen{chosen}
{
}

void reach_monitor::on_failure(const server_id& server, time_point now)
{
    if (this->current != reach::sound)
    {
        return;
    }
    absl::erase_if(
        this->failures,
        [this, now](const auto& entry)
        {
            return now - entry.second >= this->chosen.failure_window;
        });
    this->failures[server] = now;
    if (this->failures.size() >= this->chosen.servers_to_suspect &&
        now >= this->last_round + this->chosen.suspicion_pause)
    {
        this->failures.clear();
        this->rounds = 0;
        this->current = reach::suspected;
    }
}

// While the instance is cut off, a single connection that gets through is no
// proof that requests will; the rounds tell.
void reach_monitor::on_contact()
{
    this->failures.clear();
    if (this->current == reach::suspected)
    {
        this->current = reach::sound;
    }
}

time_point reach_monitor::next_round() const
{
    return this->last_round + this->chosen.round_interval;
}

void reach_monitor::on_round_begun(time_point now)
{
    this->last_round = now;
}

void reach_monitor::on_round(const round_outcome& outcome)
{
    if (this->current == reach::sound)
    {
        return;
    }
    if (this->current == reach::suspected &&
        (outcome.any_accepted || outcome.asked < min_asked))
    {
        this->current = reach::sound;
        return;
    }
    const bool speaks_for_change =
        outcome.any_accepted == (this->current == reach::cut_off);
    this->rounds = speaks_for_change ? this->rounds + 1 : 0;
    if (this->rounds >= this->chosen.rounds_to_change)
    {
        this->rounds = 0;
        this->current =
            this->current == reach::cut_off ? reach::sound : reach::cut_off;
    }
}

reach_monitor::reach reach_monitor::state() const
{
    return this->current;
}

} // namespace fireflysail
