#include "gateway/endpoint_record.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

kernel::steady_time at(int ms)
{
    return kernel::steady_time(std::chrono::seconds(100)) + milliseconds(ms);
}

endpoint_record make_record()
{
    endpoint_entry entry;
    entry.id = kernel::endpoint_id("e");
    entry.incarnation = 1;
    return endpoint_record(entry);
}

wire::engine_state state_with(std::uint64_t progress)
{
    wire::engine_state res;
    res.endpoint_incarnation = 1;
    res.running = 8;
    res.waiting = 4;
    res.progress = progress;
    return res;
}

} // namespace

// Load pattern: 103 routers share 180 engines under overload, so that a router
// has one request at an engine that serves others for more than a second.
// Such an engine counted as stalled, and 230 of 1500 requests were sent to a
// second engine, which read their prompts again.
TEST_CASE("an engine that sends output to other routers is not stalled")
{
    auto record = make_record();
    record.on_state(state_with(1), at(0));
    record.on_sent({2000, 2000}, at(10));
    for (int ms = 500; ms <= 3000; ms += 500)
    {
        record.on_state(state_with(static_cast<std::uint64_t>(ms)), at(ms));
        CHECK_FALSE(record.stalled(at(ms + 499)));
    }
}

TEST_CASE("an engine without output is stalled soon")
{
    auto record = make_record();
    record.on_state(state_with(1), at(0));
    record.on_sent({2000, 2000}, at(10));
    SECTION("its agent reports the same progress")
    {
        record.on_state(state_with(1), at(500));
        CHECK_FALSE(record.stalled(at(900)));
        record.on_state(state_with(1), at(1000));
        CHECK(record.stalled(at(1000)));
    }
    // An agent does not report a state that has not changed.
    SECTION("its agent reports nothing")
    {
        CHECK(record.stalled(at(1320)));
    }
    SECTION("its agent cannot reach it")
    {
        auto state = state_with(1);
        state.unreachable = true;
        record.on_state(state, at(600));
        CHECK(record.stalled(at(600)));
    }
    SECTION("its agent is not connected")
    {
        record.on_link_lost();
        CHECK(record.stalled(at(920)));
    }
}

// Guards against requests for an old version: an engine restarts and loads new
// weights, which its agent reports once, before the router reads the entry that
// the engine wrote at its start.
TEST_CASE("reported weights replace those of an older entry")
{
    kernel::model_id const model("m");
    auto record = make_record();
    record.on_state(state_with(1), at(0));
    auto state = state_with(2);
    state.endpoint_incarnation = 2;
    state.weights = {{model, 5}};
    record.on_state(state, at(100));
    endpoint_entry entry;
    entry.id = kernel::endpoint_id("e");
    entry.incarnation = 2;
    entry.models = {{model, 4}};
    record.update(entry);
    CHECK(record.version_of(model) == 5);
    // A further restart, which no agent has reported yet.
    entry.incarnation = 3;
    record.update(entry);
    CHECK(record.version_of(model) == 4);
}

// Guards against an engine that a router cannot use until its next load: after
// a refusal without an explanation the router assumes the target version, and
// agents report weights only when they have changed.
TEST_CASE("each report corrects an assumed version")
{
    kernel::model_id const model("m");
    auto record = make_record();
    auto state = state_with(1);
    state.weights = {{model, 4}};
    record.on_state(state, at(0));
    record.set_version(model, 5);
    record.on_state(state_with(2), at(250));
    CHECK(record.version_of(model) == 4);
}

// Guards against requests to an endpoint that has announced its exit, because
// an entry or a report that was made earlier calls it ready.
TEST_CASE("only a newer incarnation ends that an endpoint is leaving")
{
    auto const incarnation = GENERATE(kernel::incarnation(0), 5);
    endpoint_entry entry;
    entry.id = kernel::endpoint_id("e");
    entry.incarnation = incarnation;
    endpoint_record record(entry);
    auto state = state_with(1);
    state.endpoint_incarnation = incarnation;
    record.on_state(state, at(0));
    record.on_leaving();
    CHECK_FALSE(record.available(at(0)));
    CHECK(record.unusable_until(at(0)) == kernel::steady_time::max());
    SECTION("an entry of the same incarnation")
    {
        record.update(entry);
        CHECK(record.leaving());
    }
    SECTION("an entry of the same incarnation with another address")
    {
        entry.host = "10.0.0.2";
        record.update(entry);
        CHECK(record.leaving());
    }
    SECTION("entries of an earlier and of an unknown incarnation")
    {
        for (auto n : {kernel::incarnation(0), kernel::incarnation(4)})
        {
            entry.incarnation = std::min(n, incarnation);
            record.update(entry);
            CHECK(record.leaving());
        }
        entry.incarnation = incarnation;
        record.update(entry);
        CHECK(record.leaving());
    }
    SECTION("a report that does not say so, and a lost link")
    {
        record.on_state(state, at(10));
        CHECK_FALSE(record.available(at(10)));
        record.on_link_lost();
        CHECK_FALSE(record.available(at(20)));
    }
    SECTION("an entry of a newer incarnation")
    {
        auto const generation = record.generation();
        entry.incarnation = incarnation + 1;
        record.on_link_lost();
        record.update(entry);
        CHECK_FALSE(record.leaving());
        CHECK(record.available(at(10)));
        CHECK(record.generation() != generation);
    }
}

// Guards against a misstep of each router: the agent learns first that its
// engine leaves.
TEST_CASE("an endpoint whose agent reports that it leaves is not used")
{
    auto record = make_record();
    auto state = state_with(1);
    state.leaving = true;
    record.on_state(state, at(0));
    CHECK_FALSE(record.available(at(0)));
    CHECK(record.unusable_until(at(0)) == kernel::steady_time::max());
    SECTION("the link is lost")
    {
        record.on_link_lost();
        CHECK_FALSE(record.available(at(10)));
    }
    SECTION("a late report of an earlier incarnation")
    {
        auto entry = record.entry();
        entry.incarnation = 2;
        record.update(entry);
        CHECK(record.available(at(10)));
        record.on_state(state, at(20));
        CHECK(record.available(at(20)));
    }
    SECTION("the new incarnation is reported before its entry")
    {
        state.endpoint_incarnation = 2;
        record.on_state(state, at(10));
        auto entry = record.entry();
        entry.incarnation = 2;
        record.update(entry);
        CHECK_FALSE(record.available(at(20)));
        state.leaving = false;
        record.on_state(state, at(30));
        CHECK(record.available(at(30)));
    }
}

// Guards against requests to an endpoint that asked this process for none.
TEST_CASE("an endpoint gets no requests for the time that it asked for")
{
    auto record = make_record();
    record.on_refusal(at(0), milliseconds(150));
    CHECK(record.on_pause(at(0), milliseconds(2000)));
    CHECK(record.paused(at(0)));
    CHECK(record.refuses_requests(at(0)));
    CHECK_FALSE(record.available(at(1999)));
    auto const until = record.unusable_until(at(0));
    REQUIRE(until);
    CHECK(*until >= at(2000));
    CHECK(*until <= at(2500));
    CHECK_FALSE(record.available(*until - milliseconds(1)));
    CHECK_FALSE(record.unusable_until(*until));
    SECTION("its prefixes may be fetched in the meantime")
    {
        CHECK(record.can_serve_cache(at(200)));
    }
    SECTION("neither an entry, a report nor a lost link ends the pause")
    {
        record.update(record.entry());
        record.on_state(state_with(1), at(10));
        CHECK_FALSE(record.available(at(1999)));
        record.on_link_lost();
        CHECK_FALSE(record.available(at(1999)));
    }
    SECTION("a restart ends the pause")
    {
        auto entry = record.entry();
        entry.incarnation = 2;
        record.update(entry);
        CHECK(record.available(at(10)));
        CHECK_FALSE(record.unusable_until(at(10)));
    }
    SECTION("its requests return gradually")
    {
        CHECK(record.available(*until));
        record.on_sent({}, *until);
        CHECK_FALSE(record.available(*until));
        // The end is not known: it depends on the response.
        CHECK_FALSE(record.unusable_until(*until));
        record.on_response_started({}, *until + milliseconds(20));
        CHECK(record.available(*until + milliseconds(20)));
    }
}

// Guards against callers that are kept waiting for an endpoint that is known
// not to become usable in time.
TEST_CASE("an endpoint tells until when it cannot be used")
{
    auto record = make_record();
    CHECK_FALSE(record.unusable_until(at(0)));
    record.on_refusal(at(0), milliseconds(150));
    CHECK(record.unusable_until(at(100)) == at(150));
    CHECK_FALSE(record.unusable_until(at(150)));
    // The agent may reach its engine again at any time.
    auto state = state_with(1);
    state.unreachable = true;
    record.on_state(state, at(200));
    CHECK_FALSE(record.available(at(200)));
    CHECK_FALSE(record.unusable_until(at(200)));
    SECTION("it is draining")
    {
        auto entry = record.entry();
        entry.draining = true;
        record.update(entry);
        CHECK(record.unusable_until(at(200)) == kernel::steady_time::max());
    }
    SECTION("its address belongs to another endpoint")
    {
        record.mark_replaced();
        CHECK(record.unusable_until(at(200)) == kernel::steady_time::max());
    }
}

} // namespace endiveward::gateway
