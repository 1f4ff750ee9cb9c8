#include "gateway/http/event_splitter.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace endiveward::gateway
{

// Guards against forwarding a partial event, for any fragmentation of the
// input. After a resumption the caller would see a corrupt event.
TEST_CASE("events are complete and in order for any fragmentation")
{
    std::string const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                             "versions: 3\nid: 3\ndata: c\n\n";
    auto const step = GENERATE(1U, 2U, 3U, 7U, 100U);
    event_splitter splitter;
    std::vector<std::uint64_t> ids;
    std::string all;
    for (std::size_t at = 0; at < text.size(); at += step)
    {
        splitter.feed(std::string_view(text).substr(at, step));
        while (auto const event = splitter.next())
        {
            REQUIRE(event->id);
            ids.push_back(*event->id);
            all += event->text;
        }
    }
    CHECK(ids == std::vector<std::uint64_t>{1, 2, 3});
    CHECK(all == text);
    CHECK(splitter.pending() == 0);
}

TEST_CASE("an incomplete event is pending")
{
    event_splitter splitter;
    splitter.feed("id: 1\ndata: a\n\nid: 2\ndata");
    CHECK(splitter.next()->id == 1U);
    CHECK_FALSE(splitter.next());
    CHECK(splitter.pending() == 10);
}

} // namespace endiveward::gateway
