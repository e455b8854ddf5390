#include "ledger/retention.hpp"

namespace fireflysail
{

retention_clock::retention_clock(const retention_options& options)
    : options{options}
{
}

void retention_clock::on_marks(
    const retention_marks& read, revision version, time_point now)
{
    if (version <= this->current)
    {
        return;
    }
    this->marks = read;
    this->current = version;
    this->first_seen = now;
}

std::optional<retention_marks> retention_clock::due(time_point now) const
{
    const bool over = this->current != revision{} &&
                      now - this->first_seen >= this->options.epoch;
    if (!over)
    {
        return std::nullopt;
    }
    retention_marks next = this->marks;
    next.starts.push_back(this->current);
    if (next.starts.size() > this->options.epochs)
    {
        next.starts.erase(next.starts.begin());
    }
    return next;
}

revision retention_clock::cutoff() const
{
    // Each mark is written at least one epoch after the one before, so the
    // first of `epochs` marks is at least that many epochs old.
    if (this->marks.starts.size() < this->options.epochs)
    {
        return revision{};
    }
    return this->marks.starts.front();
}

revision retention_clock::version() const
{
    return this->current;
}

} // namespace fireflysail
