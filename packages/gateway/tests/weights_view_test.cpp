#include "gateway/endpoint_record.hpp"
#include "gateway/weights_view.hpp"

#include <catch2/catch.hpp>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

kernel::model_id const model("m");
kernel::steady_time const start{seconds(100)};

endpoint_record make_record(weights::weight_version version)
{
    endpoint_entry entry;
    entry.id = kernel::endpoint_id("e");
    entry.incarnation = 7;
    entry.models = {{model, version}};
    return endpoint_record(entry);
}

weights_view make_view()
{
    weights_view res({}, seconds(10));
    res.set_target({model, 2}, {kernel::endpoint_id("e")}, start, start);
    return res;
}

} // namespace

TEST_CASE("an endpoint without a connected agent follows the rollout plan")
{
    auto const view = make_view();
    auto const record = make_record(1);
    CHECK(view.status(record, model, start) == weights_status::reloading);
    auto const later = start + seconds(3);
    CHECK(view.status(record, model, later) ==
          weights_status::expected_current);
    CHECK(view.version_to_request(record, model, later) == 2);
}

// Guards against requests that expect a model version which the engine, as
// reported by its agent, does not have.
TEST_CASE("an endpoint is asked for the version that its agent reports")
{
    auto const view = make_view();
    auto record = make_record(1);
    wire::engine_state state;
    state.endpoint_incarnation = 7;
    state.weights = {{model, 1}};
    record.on_state(state, start);
    CHECK(view.status(record, model, start + seconds(3)) ==
          weights_status::outdated);
    CHECK(view.version_to_request(record, model, start + seconds(3)) == 1);
    state.reloading = true;
    record.on_state(state, start);
    CHECK(view.status(record, model, start) == weights_status::reloading);
    state.reloading = false;
    state.weights = {{model, 2}};
    record.on_state(state, start);
    CHECK(view.status(record, model, start) == weights_status::current);
}

// Guards against requests that start on weights which were replaced too long
// ago.
TEST_CASE("an old version expires before the deadline")
{
    auto const view = make_view();
    auto record = make_record(1);
    record.on_state({7, {{model, 1}}}, start);
    CHECK(view.status(record, model, start + seconds(7)) ==
          weights_status::outdated);
    CHECK(view.status(record, model, start + seconds(9)) ==
          weights_status::expired);
}

// Guards against a late report of an earlier incarnation of an engine.
TEST_CASE("a report of an earlier incarnation is ignored")
{
    auto record = make_record(3);
    record.on_state({6, {{model, 1}}}, start);
    CHECK(record.version_of(model) == 3);
    CHECK_FALSE(record.linked());
}

// Guards against requests to an engine that has restarted under another id.
// Before the agent's report of the new incarnation was considered, each router
// lost one request to each restarted engine.
TEST_CASE("a restarted engine gets no requests until its entry is updated")
{
    auto record = make_record(1);
    record.on_state({7, {{model, 1}}}, start);
    CHECK(record.available(start));
    record.on_state({9, {{model, 1}}}, start);
    CHECK_FALSE(record.available(start));
    auto entry = record.entry();
    entry.incarnation = 9;
    record.update(entry);
    CHECK(record.available(start));
}

TEST_CASE("an engine that its agent cannot reach gets no requests")
{
    auto record = make_record(1);
    wire::engine_state state{7, {{model, 1}}};
    state.unreachable = true;
    record.on_state(state, start);
    CHECK_FALSE(record.available(start));
    state.unreachable = false;
    record.on_state(state, start);
    CHECK(record.available(start));
    // Without a connection to the agent, the report no longer applies.
    state.unreachable = true;
    record.on_state(state, start);
    record.on_link_lost();
    CHECK(record.available(start));
}

// Guards against a version that an agent reported before its connection was
// lost: the first report on the next one may lack weights, and the version that
// the engine's response has named since was replaced by the older one.
TEST_CASE("weights reported on a lost connection are forgotten")
{
    auto record = make_record(1);
    record.on_state({7, {{model, 2}}}, start);
    record.on_link_lost();
    record.set_version(model, 3);
    record.on_state({7, {}}, start);
    CHECK(record.version_of(model) == 3);
}

} // namespace endiveward::gateway
