#include "common/json_text.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace fireflysail;

namespace
{

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

} // namespace

TEST_CASE("a document that is nested too deeply is not read")
{
    CHECK(parse_json(nested(max_json_depth)).is_array());
    CHECK(parse_json(nested(max_json_depth + 1)).is_discarded());
    CHECK(parse_json(nested(400'000)).is_discarded());
    CHECK(parse_json(std::string(400'000, '[')).is_discarded());
    // Brackets in strings are no nesting.
    CHECK(parse_json("\"" + std::string(1'000, '[') + "\"").is_string());
}

TEST_CASE("what is not JSON is discarded")
{
    const auto text = GENERATE(
        "",
        " ",
        "{",
        "]",
        "[1,]",
        "{\"a\" 1}",
        "\"\\ud83d\"",
        "\"\xff\"",
        "\"open",
        "1e999",
        "[1] [2]");
    CHECK(parse_json(text).is_discarded());
}

TEST_CASE("an object is split without reading its values")
{
    const auto members = split_object(
        R"( {"a" : [1, {"b": "]}\""}], "c":"\ud83d" , "e": 1e999} )");
    REQUIRE(members);
    REQUIRE(members->size() == 3);
    CHECK(find_member(*members, "a") == R"([1, {"b": "]}\""}])");
    CHECK(parse_json(find_member(*members, "c")).is_discarded());
    CHECK(find_member(*members, "b").empty());
    CHECK(split_object("{}")->empty());
}

TEST_CASE("an array is split without reading its elements")
{
    const auto elements = split_array("[ {\"a\": \"\xff\"}, [[1]],2 ]");
    REQUIRE(elements);
    REQUIRE(elements->size() == 3);
    CHECK((*elements)[0] == "{\"a\": \"\xff\"}");
    CHECK((*elements)[1] == "[[1]]");
    CHECK(split_array(" [ ] ")->empty());
    CHECK(split_array(nested(400'000))->size() == 1);
}

TEST_CASE("text with broken framing is not split")
{
    const auto text = GENERATE(
        "",
        "{",
        "{\"a\"}",
        "{\"a\":}",
        "{\"a\":1,}",
        "{\"a\":1} x",
        "{\"a\":1",
        "{a:1}",
        "{\"a\":[1}",
        "1",
        "{\"a",
        "{\"a\":\"\\");
    CHECK_FALSE(split_object(text));
    const auto array =
        GENERATE("", "[", "[1", "[1,]", "[1] 2", "[1 \"", "{}", "[\"\\\"]");
    CHECK_FALSE(split_array(array));
}
