#pragma once

#include "settings/settings.hpp"

#include <cstddef>
#include <memory>

namespace fireflysail
{

class clock;

/// One entry instance: every part of it, wired together.
class instance
{
public:
    instance(const settings& chosen, const clock& time);
    ~instance();

    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Opens the ports and begins to serve; false if one cannot be bound.
    bool start();

    /// Says "not ready" and takes no new work; what runs goes on.
    void begin_drain();

    /// Requests that still run.
    std::size_t running() const;

    void stop();

    struct parts;

private:
    std::unique_ptr<parts> self;
};

} // namespace fireflysail
