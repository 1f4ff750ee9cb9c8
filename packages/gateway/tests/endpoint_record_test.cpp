#include "gateway/endpoint_record.hpp"

#include <catch2/catch.hpp>

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
