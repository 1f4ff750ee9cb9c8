#include "agent/internal/agent_metrics.hpp"
#include "agent/internal/call_executor.hpp"
#include "agent/internal/drain_controller.hpp"
#include "agent/internal/load_reporter.hpp"
#include "agent/internal/router_connections.hpp"
#include "agent/tests/fakes.hpp"
#include "kernel/manual_clock.hpp"

#include <catch2/catch.hpp>
#include <prometheus/registry.h>

namespace endiveward::agent
{

namespace
{

using namespace std::chrono_literals;

/// The agent of a service endpoint, with connections from routers.
struct process_under_test
{
    process_under_test()
    {
        call_executor_dependencies dependencies;
        dependencies.clock = clock;
        dependencies.queue = queue;
        dependencies.ledger = std::make_shared<fake_ledger>();
        dependencies.cache_index = std::make_shared<fake_cache_index>();
        dependencies.configuration = configuration;
        dependencies.endpoint = endpoint;
        dependencies.load = load;
        dependencies.metrics = metrics;
        dependencies.make_buffer = []
        { return std::make_unique<fake_buffer>(); };
        executor = std::make_shared<call_executor>(
            dependencies, endpoint_identity{kernel::endpoint_id("e"),
                                            kernel::service_id("gate")});
        connections = std::make_shared<router_connections>(
            clock, executor, configuration, load, metrics);
        drain = std::make_shared<drain_controller>(clock, executor, connections,
                                                   [this] { ++drained; });
    }

    void advance(std::chrono::milliseconds step)
    {
        clock->advance(step);
        executor->tick();
        drain->tick();
    }

    static wire::invoke make_invoke(std::uint64_t call_id)
    {
        wire::invoke it;
        it.call_id = call_id;
        it.stream_id = {1, call_id};
        it.service = kernel::service_id("gate");
        it.target = wire::target_kind::service;
        it.method = "POST";
        it.path = "/check";
        it.deadline = 60s;
        it.config_version = 1;
        return it;
    }

    std::shared_ptr<kernel::manual_clock> clock =
        std::make_shared<kernel::manual_clock>();
    std::shared_ptr<fake_queue> queue = std::make_shared<fake_queue>(*clock);
    std::shared_ptr<fake_config_state> configuration =
        std::make_shared<fake_config_state>();
    std::shared_ptr<fake_endpoint> endpoint = std::make_shared<fake_endpoint>();
    std::shared_ptr<load_reporter> load =
        std::make_shared<load_reporter>(queue, 5, 16);
    std::shared_ptr<agent_metrics> metrics = std::make_shared<agent_metrics>(
        std::make_shared<prometheus::Registry>());
    std::shared_ptr<call_executor> executor;
    std::shared_ptr<router_connections> connections;
    std::shared_ptr<drain_controller> drain;
    std::shared_ptr<fake_connection> router =
        std::make_shared<fake_connection>();
    int drained = 0;
};

} // namespace

// Guards against a planned stop that interrupts a call, and against new calls
// while draining.
TEST_CASE("draining completes after the last call")
{
    process_under_test process;
    process.connections->on_open(process.router);
    process.connections->on_message(process.router,
                                    process_under_test::make_invoke(1));
    process.drain->start();
    CHECK(process.router->all<wire::draining>().size() == 1);
    process.advance(5s);
    CHECK(process.drained == 0);

    process.connections->on_message(process.router,
                                    process_under_test::make_invoke(2));
    auto const verdicts = process.router->all<wire::verdict>();
    REQUIRE(verdicts.size() == 2);
    CHECK(verdicts[1].refusal->kind == kernel::error_kind::draining);

    auto const late = std::make_shared<fake_connection>();
    process.connections->on_open(late);
    CHECK(late->all<wire::draining>().size() == 1);

    process.endpoint->send_chunk(0, "ok");
    process.endpoint->finish(0);
    process.advance(5s);
    CHECK(process.drained == 0);
    process.connections->on_message(process.router, wire::chunk_ack{1, 1});
    process.advance(0s);
    process.advance(drain_controller::linger);
    CHECK(process.drained == 1);
    process.advance(5s);
    CHECK(process.drained == 1);
}

// Guards against a drain that never completes because a router has
// disconnected.
TEST_CASE("a response that no router resumes delays a drain by 10 s at most")
{
    process_under_test process;
    process.connections->on_open(process.router);
    process.connections->on_message(process.router,
                                    process_under_test::make_invoke(1));
    process.drain->start();
    process.connections->on_closed(process.router, {});
    process.endpoint->send_chunk(0, "ok");
    process.endpoint->finish(0);
    process.advance(9s);
    process.advance(drain_controller::linger);
    process.advance(drain_controller::linger);
    CHECK(process.drained == 1);
}

// Guards against transferring a snapshot of several megabytes twice on each
// connection, because the hello and the heartbeat carry the same version.
TEST_CASE("a configuration version is requested once per connection")
{
    process_under_test process;
    process.connections->on_open(process.router);
    for (int n = 0; n < 2; ++n)
        process.connections->on_message(process.router,
                                        wire::heartbeat{4, {}, false});
    CHECK(process.router->all<wire::config_request>().size() == 1);
    process.connections->on_message(process.router,
                                    wire::heartbeat{5, {}, false});
    CHECK(process.router->all<wire::config_request>().size() == 2);
}

// Guards against configuration changes that are distributed only through the
// store.
TEST_CASE("configuration is exchanged with routers")
{
    process_under_test process;
    process.connections->on_open(process.router);
    CHECK(process.router->all<wire::config_request>().empty());
    process.connections->on_message(process.router,
                                    wire::heartbeat{4, {}, true});
    CHECK(process.router->all<wire::heartbeat>().size() == 1);
    REQUIRE(process.router->all<wire::config_request>().size() == 1);
    process.connections->on_message(process.router,
                                    wire::config_update{1, 4, true, "{}"});
    CHECK(process.configuration->current()->version() == 4);
    process.connections->on_message(process.router, wire::config_request{2});
    auto const updates = process.router->all<wire::config_update>();
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].from_version == 2);
    CHECK(updates[0].to_version == 4);
}

// Guards against a crash or a reply when an agent gets messages meant for
// routers.
TEST_CASE("messages that routers do not send are dropped")
{
    process_under_test process;
    process.connections->on_open(process.router);
    process.connections->on_message(process.router, wire::draining{});
    process.connections->on_message(process.router, wire::verdict{});
    process.connections->on_message(process.router, wire::chunk_ack{7, 1});
    process.connections->on_message(process.router, wire::cancel{7});
    CHECK(process.router->sent.empty());
}

// Guards against routers that each learn of a call that crashes endpoints by
// crashes of their own, and against one that starts anew with each restart.
TEST_CASE("an agent passes reports of crashes on to the other routers")
{
    process_under_test f;
    auto const sender = std::make_shared<fake_connection>();
    auto const other = std::make_shared<fake_connection>();
    auto const earlier = std::make_shared<fake_connection>();
    for (auto const& it : {sender, other})
        it->peer_hello.accepts_part_reports = true;
    for (auto const& it : {sender, other, earlier})
        f.connections->on_open(it);
    wire::part_report report;
    report.crashes = {{7, 1, 0, std::chrono::milliseconds(3)}};
    f.connections->on_message(sender, report);
    CHECK(other->all<wire::part_report>().size() == 1);
    CHECK(sender->all<wire::part_report>().empty());
    // It would close its connection.
    CHECK(earlier->all<wire::part_report>().empty());
    auto const later = std::make_shared<fake_connection>();
    later->peer_hello.accepts_part_reports = true;
    f.connections->on_open(later);
    REQUIRE(later->all<wire::part_report>().size() == 1);
    CHECK(later->all<wire::part_report>()[0].crashes[0].part == 7);
}

} // namespace endiveward::agent
