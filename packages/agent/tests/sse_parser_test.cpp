#include "agent/internal/sse_parser.hpp"

#include <catch2/catch.hpp>

#include <vector>

namespace endiveward::agent
{

namespace
{

std::vector<sse_event> parse(std::string_view bytes, std::size_t step)
{
    std::vector<sse_event> events;
    sse_parser parser;
    for (std::size_t n = 0; n < bytes.size(); n += step)
        CHECK(parser.feed(bytes.substr(n, step),
                          [&](sse_event const& it)
                          {
                              events.push_back(it);
                              return true;
                          }));
    return events;
}

} // namespace

// Guards against events that are lost or merged at read boundaries.
TEST_CASE("events are parsed for any segmentation of the input")
{
    auto const step = GENERATE(1, 2, 3, 7, 1000);
    auto const events = parse("id: 0\ndata: {\"a\":1}\n\n: comment\r\n"
                              "id: 1\r\ndata: x\r\ndata: y\r\n\r\n"
                              "data: [DONE]\n\nid: 3\ndata: cut",
                              static_cast<std::size_t>(step));
    REQUIRE(events.size() == 3);
    CHECK(events[0].id == 0);
    CHECK(events[0].data == "{\"a\":1}");
    CHECK(events[1].id == 1);
    CHECK(events[1].data == "x\ny");
    CHECK_FALSE(events[2].id);
    CHECK(events[2].data == "[DONE]");
}

// Guards against unbounded buffering of an event without an end.
TEST_CASE("an event above the size limit is rejected")
{
    sse_parser parser;
    std::string const piece(1U << 16U, 'x');
    bool accepted = true;
    for (int n = 0; n < 32 && accepted; ++n)
        accepted = parser.feed(piece, [](sse_event const&) { return true; });
    CHECK_FALSE(accepted);
}

} // namespace endiveward::agent
