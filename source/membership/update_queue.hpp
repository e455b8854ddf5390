#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace fireflysail
{

/// Names of updates that are still to be sent, least sent first. Each is sent a
/// number of times that grows with the logarithm of the fleet size.
class update_queue
{
public:
    /// Adds an update, or resets its send count.
    void add(const std::string& name);

    void remove(const std::string& name);

    /// The `count` least sent names. Does not change their send counts.
    std::vector<std::string> least_sent(std::size_t count) const;

    void count_sent(const std::string& name, std::size_t fleet);

    bool empty() const;

private:
    std::map<std::string, std::size_t> send_counts;
};

} // namespace fireflysail
