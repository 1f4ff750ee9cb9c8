#include "engine/batch.hpp"
#include "engine/block_cache.hpp"
#include "engine/event_log.hpp"
#include "engine/model_set.hpp"
#include "engine/prompt.hpp"
#include "engine/stream.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace endiveward::stand_ins
{

namespace
{

using std::chrono::milliseconds;

kernel::steady_time at(int ms)
{
    return kernel::steady_time(milliseconds(ms));
}

} // namespace

// Guards against an unbounded cache and against eviction of a prefix before
// its continuation.
TEST_CASE("the least recently used block is evicted first")
{
    auto const first = block_hashes({}, std::string(3072, 'a'));
    auto const second = block_hashes({}, std::string(1024, 'b'));
    block_cache cache(3);
    CHECK(cache.store(first).stored.size() == 3);
    auto const made = cache.store(second);
    REQUIRE(made.evicted.size() == 1);
    CHECK(made.evicted[0] == first[2]);
    CHECK(cache.use(first) == 2);
}

// Guards against lost events without a gap in the numbers, and against events
// that are visible too early.
TEST_CASE("events are late and lost ones leave a gap")
{
    event_log log(milliseconds(50), 0.0, 1);
    block_cache::changes made;
    made.stored = block_hashes({}, std::string(3072, 'a'));
    log.lose_next(1);
    log.add(made, at(0));
    CHECK(log.after(0, at(49)).empty());
    auto const events = log.after(0, at(50));
    REQUIRE(events.size() == 2);
    CHECK(events[0].number == 2);
    CHECK(log.last() == 3);
}

// Guards against a batch that ignores priorities or its capacity.
TEST_CASE("more urgent requests enter the batch first")
{
    batch work(1);
    auto const late = work.join(5);
    auto const urgent = work.join(1);
    CHECK_FALSE(work.try_start(late));
    CHECK(work.try_start(urgent));
    CHECK_FALSE(work.try_start(late));
    work.leave();
    CHECK(work.try_start(late));
}

// Guards against crossed or truncated answers that look right.
TEST_CASE("an answer depends on the whole request")
{
    nlohmann::json body{{"model", "m"}, {"prompt", "text <<id>>"}};
    auto const tokens = answer_tokens(body);
    CHECK(tokens.size() == 16);
    CHECK(tokens[0] == "<<id>>");
    auto other = body;
    other["prompt"] = "Text <<id>>";
    CHECK(answer_text(other) != answer_text(body));
    other = body;
    other["max_tokens"] = 15;
    CHECK(answer_tokens(other).back() != tokens.back());
    other = body;
    other["cache_salt"] = "x";
    other["priority"] = 1;
    CHECK(answer_text(other) == answer_text(body));
}

// Guards against refused orders on engines that do not check, and the reverse.
TEST_CASE("only engines that check refuse old fencing numbers")
{
    model_set checks(true);
    CHECK(checks.accept_order(2));
    CHECK_FALSE(checks.accept_order(1));
    model_set ignores(false);
    CHECK(ignores.accept_order(2));
    CHECK(ignores.accept_order(1));
}

// Guards against streams that run on after they were cancelled or abandoned.
TEST_CASE("a cancelled stream takes no events")
{
    stream events;
    events.attach_reader();
    CHECK(events.add("a"));
    CHECK_FALSE(events.abandoned(at(100), milliseconds(10)));
    events.detach_reader(at(0));
    CHECK(events.abandoned(at(10), milliseconds(10)));
    events.cancel();
    CHECK_FALSE(events.add("b"));
    CHECK_FALSE(events.wait_for_event(0));
}

} // namespace endiveward::stand_ins
