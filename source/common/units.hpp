#pragma once

#include "common/strong_types.hpp"

#include <cstdint>

namespace fireflysail
{

/// Position of a layer within a model, counted from 0.
using layer_index = strong_number<struct layer_index_tag, std::uint32_t>;

/// Position of a generated token within one answer, counted from 0.
using token_index = strong_number<struct token_index_tag, std::uint32_t>;

using token_count = strong_number<struct token_count_tag, std::uint64_t>;
using byte_count = strong_number<struct byte_count_tag, std::uint64_t>;

/// Half-open range of layers [first, last).
struct layer_range
{
    layer_index first;
    layer_index last;

    constexpr std::uint32_t size() const noexcept
    {
        return this->last.value() - this->first.value();
    }

    auto operator<=>(const layer_range&) const = default;
};

} // namespace fireflysail
