#pragma once

#include "common/units.hpp"

#include <cstddef>
#include <functional>
#include <vector>

namespace fireflysail
{

/// Bounds the bytes of all answers that are kept until they are whole. Once
/// there are too many, the longest answer that is still being read is given up:
/// servers that send without end cost the requests that asked them, and no
/// others.
class answer_memory
{
public:
    /// The part of the instance's memory that may hold answers.
    static std::size_t share_of(byte_count memory);

    explicit answer_memory(std::size_t limit);

    answer_memory(const answer_memory&) = delete;
    answer_memory& operator=(const answer_memory&) = delete;

    /// What one request holds, for as long as it lives.
    class holding
    {
    public:
        /// `give_up` ends the read in progress.
        holding(answer_memory& memory, std::function<void()> give_up);
        ~holding();

        holding(const holding&) = delete;
        holding& operator=(const holding&) = delete;

        void begin_read();

        /// Adds bytes of the answer being read; false if it is given up.
        bool grow(std::size_t bytes);

        void end_read();

        /// The bytes held so far are freed, or will be at once.
        void release();

    private:
        friend class answer_memory;

        answer_memory& memory;
        const std::function<void()> give_up;
        std::size_t size = 0;
        bool is_reading = false;
        bool is_given_up = false;
    };

    std::size_t size() const;

    /// Answers given up since the start.
    std::size_t given_up_count() const;

private:
    void give_up_longest();

    const std::size_t limit;
    std::size_t total = 0;
    std::size_t given_up = 0;
    std::vector<holding*> readers;
};

} // namespace fireflysail
