#pragma once

#include "common/clock.hpp"

#include <random>

namespace fireflysail
{

struct backoff_options
{
    duration first{std::chrono::milliseconds{200}};
    duration longest{std::chrono::seconds{10}};
};

/// Exponential backoff with full jitter: callers that failed together do not
/// come back together.
class backoff
{
public:
    explicit backoff(const backoff_options& options);

    /// How long to wait after one more failure, uniform in [0, limit], where
    /// the limit doubles with each failure.
    duration next(std::mt19937_64& random);

    void reset();

private:
    backoff_options options;
    duration limit;
};

/// Uniform in [0, longest].
duration random_duration(duration longest, std::mt19937_64& random);

} // namespace fireflysail
