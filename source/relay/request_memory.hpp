#pragma once

#include "common/units.hpp"

#include <cstddef>

namespace fireflysail
{

/// Bounds the bytes of the bodies of all requests in progress. One that finds
/// no room is refused, before its body is read where its length is stated. A
/// body that needs more than there is at all is read while no other is held.
class request_memory
{
public:
    /// The part of the instance's memory that may hold requests.
    static std::size_t share_of(byte_count memory);

    explicit request_memory(std::size_t limit);

    request_memory(const request_memory&) = delete;
    request_memory& operator=(const request_memory&) = delete;

    /// What one request holds, for as long as it lives.
    class holding
    {
    public:
        explicit holding(request_memory& memory);
        ~holding();

        holding(const holding&) = delete;
        holding& operator=(const holding&) = delete;

        /// Takes room for a body in place of what it held; false, and it holds
        /// what it did, if there is none.
        bool take(std::size_t body_bytes);

    private:
        request_memory& memory;
        std::size_t size = 0;
    };

    std::size_t size() const;

    /// Requests refused since the start.
    std::size_t refused_count() const;

private:
    const std::size_t limit;
    std::size_t total = 0;
    std::size_t refused = 0;
};

} // namespace fireflysail
