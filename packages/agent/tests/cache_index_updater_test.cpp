#include "agent/internal/agent_metrics.hpp"
#include "agent/internal/cache_index_updater.hpp"
#include "agent/internal/load_poller.hpp"
#include "agent/internal/load_reporter.hpp"
#include "agent/tests/fakes.hpp"
#include "kernel/manual_clock.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <prometheus/registry.h>

namespace endiveward::agent
{

namespace
{

using admission::cache_event;
using admission::cache_event_kind;

struct updater_under_test
{
    updater_under_test() { updater->start(); }
    // Breaks a reference cycle: the handlers own the updater, which owns the
    // endpoint.
    ~updater_under_test()
    {
        endpoint->listings.clear();
        endpoint->event_polls.clear();
    }

    void complete_listing(kernel::incarnation engine, std::uint64_t last_event)
    {
        auto const handler = endpoint->listings.back();
        handler(cache_listing{engine, last_event, {{1, 1}, {1, 2}}});
    }
    void send_events(std::vector<cache_event> const& events)
    {
        auto const handler = endpoint->event_polls.back().second;
        handler(events);
    }

    asio::io_context context;
    std::shared_ptr<fake_endpoint> endpoint = std::make_shared<fake_endpoint>();
    std::shared_ptr<fake_cache_index> index =
        std::make_shared<fake_cache_index>();
    std::shared_ptr<agent_metrics> metrics = std::make_shared<agent_metrics>(
        std::make_shared<prometheus::Registry>());
    std::shared_ptr<cache_index_updater> updater =
        std::make_shared<cache_index_updater>(context, endpoint, index,
                                              metrics);
};

} // namespace

// Guards against events that are missed between the listing and the first long
// poll.
TEST_CASE("events are polled from the end of the listing")
{
    updater_under_test test;
    test.complete_listing(7, 5);
    CHECK(test.index->blocks() == 2);
    REQUIRE(test.endpoint->event_polls.size() == 1);
    CHECK(test.endpoint->event_polls[0].first == 5);
    test.send_events({{7, 6, cache_event_kind::stored, {1, 3}}});
    CHECK(test.index->blocks() == 3);
    REQUIRE(test.endpoint->event_polls.size() == 2);
    CHECK(test.endpoint->event_polls[1].first == 6);
    test.send_events({});
    CHECK(test.endpoint->event_polls.back().first == 6);
}

// Guards against reported hits on blocks whose eviction event was lost, or of
// an engine that has restarted.
TEST_CASE("an event gap or a new incarnation clears the index until relisting")
{
    updater_under_test test;
    test.complete_listing(7, 5);
    SECTION("gap")
    {
        test.send_events({{7, 8, cache_event_kind::stored, {1, 3}}});
    }
    SECTION("event of another incarnation")
    {
        test.send_events({{8, 6, cache_event_kind::stored, {1, 3}}});
    }
    SECTION("load report of another incarnation")
    {
        test.updater->on_engine_incarnation(8);
    }
    CHECK(test.index->blocks() == 0);
    REQUIRE(test.endpoint->listings.size() == 2);
    // A late response to the old poll must not change the new index.
    test.send_events({{0, 1, cache_event_kind::stored, {1, 4}}});
    CHECK(test.index->blocks() == 0);
    test.complete_listing(8, 1);
    CHECK(test.index->engine_incarnation() == 8);
    CHECK(test.index->blocks() == 2);
    CHECK(test.endpoint->event_polls.back().first == 1);
}

// Guards against reported hits on blocks of an engine that restarted with an
// empty cache after its event connection broke.
TEST_CASE("a failed event poll clears the index immediately")
{
    updater_under_test test;
    test.complete_listing(7, 5);
    REQUIRE(test.index->blocks() == 2);
    auto const handler = test.endpoint->event_polls.back().second;
    handler(kernel::error{kernel::error_kind::connection_lost,
                          "down",
                          kernel::run_state::unknown,
                          {}});
    CHECK(test.index->blocks() == 0);
}

// Guards against calls for model versions of an unreachable engine, and against
// routers that learn of the engine's return only from the next periodic
// heartbeat.
TEST_CASE("an engine serves no model after two failed polls")
{
    kernel::manual_clock const clock;
    auto const queue = std::make_shared<fake_queue>(clock);
    auto const endpoint = std::make_shared<fake_endpoint>();
    auto const load = std::make_shared<load_reporter>(queue, 5, 16);
    int reports = 0;
    int changes = 0;
    auto const poller = std::make_shared<load_poller>(
        endpoint, load,
        std::make_shared<agent_metrics>(
            std::make_shared<prometheus::Registry>()),
        [&] { ++reports; }, [&] { ++changes; });
    kernel::model_id const model("m");
    kernel::model_version const version("v1");
    poller->poll();
    poller->poll();
    REQUIRE(endpoint->loads.size() == 1);
    engine_load report;
    report.incarnation = 7;
    report.capacity = 4;
    report.models = {{model, version}};
    endpoint->loads[0](report);
    CHECK(reports == 1);
    CHECK(changes == 1);
    CHECK(queue->capacity() == 4);
    CHECK(load->serves(model, version));
    kernel::error const failure{kernel::error_kind::connection_lost,
                                "down",
                                kernel::run_state::unknown,
                                {}};
    poller->poll();
    endpoint->loads[1](failure);
    CHECK(load->serves(model, version));
    poller->poll();
    endpoint->loads[2](failure);
    CHECK_FALSE(load->serves(model, version));
    CHECK(load->latest().models.empty());
    CHECK(changes == 2);
    poller->poll();
    endpoint->loads[3](report);
    CHECK(load->serves(model, version));
    CHECK(changes == 3);
    poller->poll();
    endpoint->loads[4](report);
    CHECK(reports == 3);
    CHECK(changes == 3);
    // Breaks a reference cycle: the handlers own the poller, which owns the
    // endpoint.
    endpoint->loads.clear();
}

} // namespace endiveward::agent
