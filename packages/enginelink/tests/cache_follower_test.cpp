#include "enginelink/cache_follower.hpp"
#include "enginelink/i_cache_feed.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <map>

namespace endiveward::enginelink
{

namespace
{

struct scripted_cache_feed : i_cache_feed
{
    void events(
        std::uint64_t since, std::chrono::milliseconds,
        std::function<void(kernel::result<cache_event_batch>)> on_done) override
    {
        polled_from.push_back(since);
        if (answers.empty())
            return;
        auto res = std::move(answers.front());
        answers.pop_front();
        on_done(std::move(res));
    }

    std::deque<kernel::result<cache_event_batch>> answers;
    std::vector<std::uint64_t> polled_from;
};

} // namespace

// Guards against parts that are still considered cached after a restart, or
// after their eviction event was lost.
TEST_CASE("a restart or lost events reset the known cache contents")
{
    asio::io_context context;
    scripted_cache_feed cache;
    std::map<std::uint64_t, std::uint32_t> known;
    int resets = 0;
    cache_follower follower(
        context, cache,
        [](std::string_view, std::string_view part) { return part.size(); },
        [&](bool reset, std::vector<wire::cached_part> const& parts)
        {
            resets += reset ? 1 : 0;
            if (reset)
                known.clear();
            for (auto const& it : parts)
                known[it.key] = it.tokens;
        });
    cache.answers = {
        cache_event_batch{1, 3, false, {{"s", "a", 10}, {"s", "bb", 20}}},
        kernel::error{kernel::error_kind::connection_lost, "x", {}, {}},
        cache_event_batch{1, 9, true, {{"s", "ccc", 30}}},
        cache_event_batch{2, 2, false, {{"s", "a", 10}}},
        cache_event_batch{2, 4, false, {{"s", "dddd", 40}}}};
    follower.start();
    context.run();
    CHECK(cache.polled_from == std::vector<std::uint64_t>{0, 3, 3, 9, 0, 4});
    CHECK(resets == 2);
    CHECK(known == std::map<std::uint64_t, std::uint32_t>{{4, 40}});
}

} // namespace endiveward::enginelink
