#include "kernel/json_bounds.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace endiveward::kernel
{

namespace
{

std::string nested(std::size_t levels, std::string const& open,
                   std::string const& close)
{
    std::string res;
    for (std::size_t n = 0; n < levels; ++n)
        res += open;
    for (std::size_t n = 0; n < levels; ++n)
        res += close;
    return res;
}

std::string list(std::size_t values, std::string const& value)
{
    auto res = "[" + value;
    for (std::size_t n = 1; n < values; ++n)
        res += "," + value;
    return res + "]";
}

} // namespace

// Guards against JSON that takes more stack than a thread has.
TEST_CASE("JSON has a limited number of levels")
{
    CHECK(is_within_json_bounds(nested(max_json_levels, "[", "]")));
    CHECK_FALSE(is_within_json_bounds(nested(max_json_levels + 1, "[", "]")));
    CHECK_FALSE(
        is_within_json_bounds("[" + nested(max_json_levels, "{\"a\":", "}")));
    CHECK_FALSE(is_within_json_bounds(std::string(1000, '[')));
}

// Guards against a limit for levels that counts all lists and objects.
TEST_CASE("JSON may have many short lists and objects")
{
    CHECK(is_within_json_bounds(list(20000, "{\"a\":[]}")));
}

// Guards against values that cost many times their text.
TEST_CASE("JSON has a limited number of values")
{
    CHECK(is_within_json_bounds(list(max_json_values - 1, "1")));
    CHECK_FALSE(is_within_json_bounds(list(max_json_values, "1")));
    CHECK_FALSE(is_within_json_bounds(list(max_json_values / 2, "[[]]")));
}

// Guards against brackets and commas of a prompt that are taken for values.
TEST_CASE("the text of a JSON string has no bounds")
{
    auto const code = std::string(2 * max_json_values, '[') +
                      std::string(2 * max_json_values, ',');
    CHECK(is_within_json_bounds("{\"prompt\":\"" + code + "\"}"));
}

// Guards against a second error in the place of the parser's own.
TEST_CASE("text that is no JSON is within the bounds up to its error")
{
    CHECK(is_within_json_bounds(""));
    CHECK(is_within_json_bounds("no JSON " + std::string(1000, '[')));
}

} // namespace endiveward::kernel
