#include "config/selector.hpp"

#include <catch2/catch.hpp>

using namespace endiveward;

namespace
{

struct match_case
{
    std::string text;
    config::label_set labels;
    bool expected;
};

struct invalid_selector
{
    std::string text;
    std::string expected;
};

} // namespace

TEST_CASE("selectors match labels", "[selector]")
{
    // Guards against traffic that reaches an endpoint which its selector
    // excludes, in particular for absent keys.
    config::label_set const hall_a{{"zone", "hall-a"}, {"tier", "2"}};
    auto const it = GENERATE_COPY(values<match_case>({
        {"", {}, true},
        {"zone=hall-a", hall_a, true},
        {"zone=hall-b", hall_a, false},
        {"zone=hall-a", {}, false},
        {"zone!=hall-b", hall_a, true},
        {"zone!=hall-a", hall_a, false},
        {"zone!=hall-a", {}, true},
        {"zone in (hall-b, hall-a)", hall_a, true},
        {"zone in (hall-b)", hall_a, false},
        {"zone in (hall-b)", {}, false},
        {"zone notin (hall-b,hall-c)", hall_a, true},
        {"zone notin (hall-a)", hall_a, false},
        {"zone notin (hall-a)", {}, true},
        {"zone", hall_a, true},
        {"zone", {}, false},
        {"!zone", hall_a, false},
        {"! zone", {}, true},
        {" zone = hall-a , tier=2 ", hall_a, true},
        {"zone=hall-a,tier=3", hall_a, false},
        {"in=1", {{"in", "1"}}, true},
    }));
    INFO(it.text);
    auto const parsed = config::selector::parse(it.text);
    REQUIRE(kernel::ok(parsed));
    CHECK(kernel::value(parsed).matches(it.labels) == it.expected);
}

TEST_CASE("an invalid selector is rejected with position and remedy",
          "[selector]")
{
    // Guards against a mistyped selector that silently allows or excludes
    // traffic.
    auto const it = GENERATE_COPY(values<invalid_selector>({
        {"zone=", "position 6: expected a label value"},
        {"=hall-a", "position 1: expected a label key"},
        {"zone=a,", "position 8: expected a label key"},
        {",zone", "position 1: expected a label key"},
        {"zone==a", "position 6: expected a label value"},
        {"zone!a", "position 6: expected '=' after '!'"},
        {"zone in a", "position 9: expected '('"},
        {"zone in ()", "position 10: expected a label value"},
        {"zone in (a", "position 11: expected ',' or ')'"},
        {"zone of (a)", "position 6: expected '=', '!=', 'in', 'notin'"},
        {"zone=a b", "position 8: expected ','"},
        {"zone=a;tier=b", "position 7: expected ','"},
        {std::string(129, 'k'), "position 1: expected a label key"},
    }));
    INFO(it.text);
    auto const parsed = config::selector::parse(it.text);
    REQUIRE_FALSE(kernel::ok(parsed));
    INFO(kernel::failure(parsed).message);
    CHECK(kernel::failure(parsed).kind == kernel::error_kind::invalid_request);
    CHECK(kernel::failure(parsed).message.find(it.expected) !=
          std::string::npos);
}
