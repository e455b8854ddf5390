#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace fireflysail
{

/// A string that cannot be mixed up with another kind of string.
template <class Tag>
class strong_string
{
public:
    strong_string() = default;

    explicit strong_string(std::string text)
        : content{std::move(text)}
    {
    }

    const std::string& str() const noexcept
    {
        return this->content;
    }

    bool empty() const noexcept
    {
        return this->content.empty();
    }

    auto operator<=>(const strong_string&) const = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, const strong_string& id)
    {
        return Hash::combine(std::move(state), id.content);
    }

private:
    std::string content;
};

/// A number that cannot be mixed up with another kind of number.
template <class Tag, class Rep = std::uint64_t>
class strong_number
{
public:
    using rep = Rep;

    constexpr strong_number() = default;

    constexpr explicit strong_number(Rep number) noexcept
        : content{number}
    {
    }

    constexpr Rep value() const noexcept
    {
        return this->content;
    }

    constexpr strong_number next() const noexcept
    {
        return strong_number{static_cast<Rep>(this->content + 1)};
    }

    constexpr auto operator<=>(const strong_number&) const = default;

    template <class Hash>
    friend Hash AbslHashValue(Hash state, const strong_number& number)
    {
        return Hash::combine(std::move(state), number.content);
    }

private:
    Rep content{};
};

} // namespace fireflysail
