#pragma once

#include "common/clock.hpp"
#include "common/identifiers.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace fireflysail
{

struct retention_options
{
    duration epoch{std::chrono::minutes{15}};
    /// Entries are kept for at least this many epochs after their last write.
    std::size_t epochs = 96;
};

/// One version per epoch, oldest first: the version of the object that holds
/// the marks, as of the start of that epoch.
struct retention_marks
{
    std::vector<revision> starts;

    auto operator<=>(const retention_marks&) const = default;
};

/// Determines which entries are old enough to be removed from their versions
/// alone, so that no wall-clock time is compared between instances. An instance
/// that has seen the marks unchanged for one epoch, by its own monotonic clock,
/// may append a mark with a conditional update.
class retention_clock
{
public:
    explicit retention_clock(const retention_options& options);

    /// Takes the marks and the version of the object that holds them, as just
    /// read from the store.
    void
    on_marks(const retention_marks& marks, revision version, time_point now);

    /// Once the current epoch is over, returns the marks to write, conditional
    /// on the version last read.
    std::optional<retention_marks> due(time_point now) const;

    /// Entries with a version below this one may be removed.
    revision cutoff() const;

    /// Version of the marks last read, or zero if none have been read.
    revision version() const;

private:
    retention_options options;
    retention_marks marks;
    revision current;
    time_point first_seen{};
};

} // namespace fireflysail
