#include "common/json_text.hpp"

#include <algorithm>

namespace fireflysail
{

namespace
{

/// Reads the framing of JSON: strings, brackets, commas and colons. Takes no
/// stack space for nested values.
class framing_reader
{
public:
    explicit framing_reader(std::string_view text)
        : text{text}
    {
    }

    /// Reads this character if it is the next one after white space.
    bool take(char expected)
    {
        this->skip_space();
        if (this->at_end() || this->text[this->position] != expected)
        {
            return false;
        }
        ++this->position;
        return true;
    }

    /// True if only white space is left.
    bool is_finished()
    {
        this->skip_space();
        return this->at_end();
    }

    /// Reads a string and returns what stands between its quotes.
    std::optional<std::string_view> take_string()
    {
        if (!this->take('"'))
        {
            return std::nullopt;
        }
        const std::size_t begin = this->position;
        if (!this->skip_string_rest())
        {
            return std::nullopt;
        }
        return this->text.substr(begin, this->position - begin - 1);
    }

    /// Reads one value of any kind and returns its text.
    std::optional<std::string_view> take_value()
    {
        this->skip_space();
        const std::size_t begin = this->position;
        std::size_t depth = 0;
        while (!this->at_end())
        {
            const char next = this->text[this->position];
            const bool closes = next == ']' || next == '}';
            if (depth == 0 && (closes || next == ',' || next == ':'))
            {
                break;
            }
            ++this->position;
            if (next == '"' && !this->skip_string_rest())
            {
                return std::nullopt;
            }
            if (next == '[' || next == '{')
            {
                ++depth;
                this->deepest = std::max(this->deepest, depth);
            }
            depth -= closes ? 1 : 0;
        }
        if (depth > 0 || this->position == begin)
        {
            return std::nullopt;
        }
        return this->text.substr(begin, this->position - begin);
    }

    std::size_t deepest_nesting() const
    {
        return this->deepest;
    }

private:
    bool at_end() const
    {
        return this->position == this->text.size();
    }

    void skip_space()
    {
        constexpr std::string_view space = " \t\r\n";
        this->position = std::min(
            this->text.find_first_not_of(space, this->position),
            this->text.size());
    }

    /// Reads on to the end of a string whose opening quote was read.
    bool skip_string_rest()
    {
        while (true)
        {
            this->position = this->text.find_first_of("\"\\", this->position);
            if (this->position == std::string_view::npos)
            {
                this->position = this->text.size();
                return false;
            }
            if (this->text[this->position] == '"')
            {
                ++this->position;
                return true;
            }
            // The escaped character may be a quote.
            this->position = std::min(this->position + 2, this->text.size());
        }
    }

    std::string_view text;
    std::size_t position = 0;
    std::size_t deepest = 0;
};

} // namespace

nlohmann::json parse_json(std::string_view text)
{
    framing_reader framing{text};
    if (!framing.take_value() || framing.deepest_nesting() > max_json_depth)
    {
        return nlohmann::json::value_t::discarded;
    }
    return nlohmann::json::parse(text, nullptr, false);
}

std::optional<std::vector<json_member>> split_object(std::string_view text)
{
    framing_reader framing{text};
    std::vector<json_member> members;
    if (!framing.take('{'))
    {
        return std::nullopt;
    }
    if (framing.take('}'))
    {
        return framing.is_finished() ? std::optional{members} : std::nullopt;
    }
    do
    {
        const auto name = framing.take_string();
        const auto value =
            name && framing.take(':') ? framing.take_value() : std::nullopt;
        if (!value)
        {
            return std::nullopt;
        }
        members.push_back({*name, *value});
    } while (framing.take(','));
    const bool is_whole = framing.take('}') && framing.is_finished();
    return is_whole ? std::optional{std::move(members)} : std::nullopt;
}

std::optional<std::vector<std::string_view>> split_array(std::string_view text)
{
    framing_reader framing{text};
    std::vector<std::string_view> elements;
    if (!framing.take('['))
    {
        return std::nullopt;
    }
    if (framing.take(']'))
    {
        return framing.is_finished() ? std::optional{elements} : std::nullopt;
    }
    do
    {
        const auto value = framing.take_value();
        if (!value)
        {
            return std::nullopt;
        }
        elements.push_back(*value);
    } while (framing.take(','));
    const bool is_whole = framing.take(']') && framing.is_finished();
    return is_whole ? std::optional{std::move(elements)} : std::nullopt;
}

std::string_view
find_member(const std::vector<json_member>& members, std::string_view name)
{
    const auto found = std::ranges::find(
        members.rbegin(), members.rend(), name, &json_member::name);
    return found == members.rend() ? std::string_view{} : found->value;
}

} // namespace fireflysail
