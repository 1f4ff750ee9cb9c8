#include "agent/internal/agent_metrics.hpp"
#include "agent/internal/cache_feeder.hpp"
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

struct feeder_under_test
{
    feeder_under_test() { feeder->start(); }
    // The handlers own the feeder, which owns the endpoint.
    ~feeder_under_test()
    {
        endpoint->listings.clear();
        endpoint->event_polls.clear();
    }

    void list(kernel::incarnation engine, std::uint64_t last_event)
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
    std::shared_ptr<fake_cache> index = std::make_shared<fake_cache>();
    std::shared_ptr<agent_metrics> metrics = std::make_shared<agent_metrics>(
        std::make_shared<prometheus::Registry>());
    std::shared_ptr<cache_feeder> feeder =
        std::make_shared<cache_feeder>(context, endpoint, index, metrics);
};

} // namespace

// Guards against events that are skipped between listing and long poll.
TEST_CASE("events continue from the listing")
{
    feeder_under_test test;
    test.list(7, 5);
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

// Guards against hits on blocks whose eviction was lost, or of a dead engine.
TEST_CASE("a gap or another incarnation empties the index until a listing")
{
    feeder_under_test test;
    test.list(7, 5);
    SECTION("gap")
    {
        test.send_events({{7, 8, cache_event_kind::stored, {1, 3}}});
    }
    SECTION("event of another incarnation")
    {
        test.send_events({{8, 6, cache_event_kind::stored, {1, 3}}});
    }
    SECTION("report of another incarnation")
    {
        test.feeder->on_engine(8);
    }
    CHECK(test.index->blocks() == 0);
    REQUIRE(test.endpoint->listings.size() == 2);
    // A late answer to the old poll must not reach the new index.
    test.send_events({{0, 1, cache_event_kind::stored, {1, 4}}});
    CHECK(test.index->blocks() == 0);
    test.list(8, 1);
    CHECK(test.index->engine_incarnation() == 8);
    CHECK(test.index->blocks() == 2);
    CHECK(test.endpoint->event_polls.back().first == 1);
}

// Guards against hits on blocks of an engine that has returned empty since its
// event connection broke.
TEST_CASE("a broken event poll empties the index at once")
{
    feeder_under_test test;
    test.list(7, 5);
    REQUIRE(test.index->blocks() == 2);
    auto const handler = test.endpoint->event_polls.back().second;
    handler(kernel::error{kernel::error_kind::connection_lost,
                          "down",
                          kernel::run_state::unknown,
                          {}});
    CHECK(test.index->blocks() == 0);
}

// Guards against calls for versions of an engine that is gone, and against
// routers that learn of an engine's return only with the next heartbeat.
TEST_CASE("an engine that does not answer twice serves no model")
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
    engine_load answer;
    answer.incarnation = 7;
    answer.capacity = 4;
    answer.models = {{model, version}};
    endpoint->loads[0](answer);
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
    endpoint->loads[3](answer);
    CHECK(load->serves(model, version));
    CHECK(changes == 3);
    poller->poll();
    endpoint->loads[4](answer);
    CHECK(reports == 3);
    CHECK(changes == 3);
    // The handlers own the poller, which owns the endpoint.
    endpoint->loads.clear();
}

} // namespace endiveward::agent
