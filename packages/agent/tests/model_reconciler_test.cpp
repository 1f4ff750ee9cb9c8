#include "agent/internal/model_reconciler.hpp"

#include "admission/table_lease.hpp"
#include "admission/weight_load_slots.hpp"
#include "agent/internal/agent_metrics.hpp"
#include "agent/internal/load_reporter.hpp"
#include "agent/tests/fakes.hpp"
#include "kernel/manual_clock.hpp"
#include "kernel/seeded_random_source.hpp"
#include "storage/tests/support/fake_table.hpp"

#include <catch2/catch.hpp>
#include <prometheus/registry.h>

namespace endiveward::agent
{

namespace
{

using namespace std::chrono_literals;

wire::loaded_model loaded(char const* version)
{
    return {kernel::model_id("m"), kernel::model_version(version)};
}

config::endpoint_model configured(char const* version)
{
    return {kernel::model_id("m"), kernel::model_version(version)};
}

/// One agent of the endpoint `e`.
struct test_agent
{
    test_agent(std::shared_ptr<kernel::manual_clock> const& clock,
               storage::i_table& table, std::string const& holder)
        : queue(std::make_shared<fake_queue>(*clock))
        , load(std::make_shared<load_reporter>(queue, 5, 16))
    {
        auto const post = [](std::function<void()> const& task) { task(); };
        model_reconciler_dependencies dependencies;
        dependencies.clock = clock;
        dependencies.random = std::make_shared<kernel::seeded_random_source>(1);
        dependencies.configuration = configuration;
        dependencies.load = load;
        dependencies.endpoint = endpoint;
        dependencies.lease = std::make_shared<admission::table_lease>(
            *clock, table, post,
            admission::table_lease_options{"leases/e", holder});
        dependencies.slots = std::make_shared<admission::weight_load_slots>(
            *clock, table, post, holder);
        dependencies.metrics = std::make_shared<agent_metrics>(
            std::make_shared<prometheus::Registry>());
        reconciler = std::make_shared<model_reconciler>(
            std::move(dependencies), kernel::endpoint_id("e"));
        report({});
    }

    void report(std::vector<wire::loaded_model> models) const
    {
        engine_load newest;
        newest.incarnation = 7;
        newest.models = std::move(models);
        load->update_engine_load(newest);
    }
    void complete_order(kernel::result<kernel::done> const& res) const
    {
        endpoint->orders.back().second(res);
    }
    std::string order_text(std::size_t n) const
    {
        auto const& it = endpoint->orders.at(n).first;
        return it.kind + " " + it.model + " " + it.version;
    }
    std::size_t orders() const { return endpoint->orders.size(); }

    std::shared_ptr<fake_queue> queue;
    std::shared_ptr<load_reporter> load;
    std::shared_ptr<fake_config_state> configuration =
        std::make_shared<fake_config_state>();
    std::shared_ptr<fake_endpoint> endpoint = std::make_shared<fake_endpoint>();
    std::shared_ptr<model_reconciler> reconciler;
};

class reconciler_fixture
{
public:
    void run_for(std::chrono::seconds duration, test_agent const& it)
    {
        for (auto n = 0s; n < duration; ++n)
        {
            clock->advance(1s);
            it.reconciler->tick();
        }
    }
    kernel::error make_error(kernel::error_kind kind) const
    {
        return {kind, "failed", kernel::run_state::unknown, {}};
    }

    std::shared_ptr<kernel::manual_clock> clock =
        std::make_shared<kernel::manual_clock>();
    storage::tests::fake_table table;
    test_agent first{clock, table, "first"};
    test_agent second{clock, table, "second"};
};

} // namespace

// Guards against an engine that stays without its models, and against a version
// change that unloads the old version before the new one is loaded.
TEST_CASE_METHOD(reconciler_fixture,
                 "the engine converges to the configured models")
{
    first.configuration->set_models({configured("2")});
    first.report({loaded("1")});
    first.reconciler->tick();
    REQUIRE(first.orders() == 1);
    CHECK(first.order_text(0) == "load m 2");
    CHECK(first.endpoint->orders[0].first.fencing_number == 1);
    run_for(3s, first);
    CHECK(first.orders() == 1);
    first.complete_order(kernel::done{});
    first.report({loaded("1"), loaded("2")});
    run_for(1s, first);
    REQUIRE(first.orders() == 2);
    CHECK(first.order_text(1) == "unload m 1");
    first.complete_order(kernel::done{});
    first.report({loaded("2")});
    run_for(20s, first);
    CHECK(first.orders() == 2);
}

// Guards against renewing leases while no order is due, which would take most
// of the table's writes, and against orders to engines that are managed by
// others.
TEST_CASE_METHOD(reconciler_fixture,
                 "the table is accessed only when an order is due")
{
    SECTION("no configured models")
    {
        first.report({loaded("1")});
    }
    SECTION("nothing to do")
    {
        first.configuration->set_models({configured("1")});
        first.report({loaded("1")});
    }
    SECTION("engine unreachable")
    {
        first.configuration->set_models({configured("1")});
        first.load->mark_engine_unreachable();
    }
    SECTION("draining")
    {
        first.configuration->set_models({configured("1")});
        first.queue->drain();
    }
    run_for(30s, first);
    CHECK(first.orders() == 0);
    CHECK(table.commits() == 0);
    CHECK(table.reads() == 0);
}

// Guards against a lease or slot that is not released when all orders are done.
TEST_CASE_METHOD(reconciler_fixture, "lease and slot are released")
{
    first.configuration->set_models({configured("1")});
    first.reconciler->tick();
    first.complete_order(kernel::done{});
    first.report({loaded("1")});
    run_for(1s, first);
    auto const commits = table.commits();
    run_for(30s, first);
    CHECK(table.commits() == commits);
    second.configuration->set_models({configured("1")});
    second.reconciler->tick();
    REQUIRE(second.orders() == 1);
    CHECK(second.endpoint->orders[0].first.fencing_number == 2);
}

// Guards against orders from a process that was suspended until after its lease
// expired.
TEST_CASE_METHOD(reconciler_fixture, "a suspended lease holder sends no orders")
{
    first.configuration->set_models({configured("1")});
    second.configuration->set_models({configured("2")});
    first.reconciler->tick();
    REQUIRE(first.orders() == 1);
    // The first agent is suspended now; the second one waits for the lease to
    // expire.
    run_for(9s, second);
    CHECK(second.orders() == 0);
    run_for(10s, second);
    REQUIRE(second.orders() == 1);
    CHECK(second.endpoint->orders[0].first.fencing_number == 2);
    first.complete_order(make_error(kernel::error_kind::conflict));
    for (int n = 0; n < 30; ++n)
    {
        run_for(1s, second);
        first.reconciler->tick();
    }
    CHECK(first.orders() == 1);
}

// Guards against a wrong final state if an engine does not check fencing
// numbers and executes a late order of a previous lease holder.
TEST_CASE_METHOD(reconciler_fixture, "the effect of a late order is reverted")
{
    first.configuration->set_models({configured("2")});
    first.report({loaded("2")});
    run_for(5s, first);
    REQUIRE(first.orders() == 0);
    first.report({loaded("1"), loaded("2")});
    run_for(1s, first);
    REQUIRE(first.orders() == 1);
    CHECK(first.order_text(0) == "unload m 1");
    first.complete_order(kernel::done{});
    first.report({loaded("1")});
    run_for(1s, first);
    REQUIRE(first.orders() == 2);
    CHECK(first.order_text(1) == "load m 2");
}

// Guards against weight loads that are not counted against the limit of
// concurrent loads.
TEST_CASE_METHOD(reconciler_fixture, "without the table no load starts")
{
    first.configuration->set_models({configured("1")});
    table.set_unavailable(true);
    run_for(30s, first);
    CHECK(first.orders() == 0);
    table.set_unavailable(false);
    run_for(7s, first);
    CHECK(first.orders() == 1);
}

// Guards against two agents that send orders to one engine at the same time,
// and against an agent that keeps a lease or slot that the other one needs.
TEST_CASE_METHOD(reconciler_fixture, "only one of two agents sends orders")
{
    for (auto const* it : {&first, &second})
        it->configuration->set_models({configured("1")});
    for (int n = 0; n < 30; ++n)
    {
        run_for(1s, first);
        second.reconciler->tick();
    }
    CHECK(first.orders() + second.orders() == 1);
    first.complete_order(kernel::done{});
    for (auto const* it : {&first, &second})
        it->report({loaded("1")});
    for (int n = 0; n < 30; ++n)
    {
        run_for(1s, first);
        second.reconciler->tick();
    }
    CHECK(first.orders() + second.orders() == 1);
}

// Guards against a second load when only the response to the first order was
// lost, and against a load that is never repeated when the order itself was
// lost.
TEST_CASE_METHOD(reconciler_fixture,
                 "the load report decides after a lost response")
{
    first.configuration->set_models({configured("1")});
    first.reconciler->tick();
    REQUIRE(first.orders() == 1);
    first.complete_order(make_error(kernel::error_kind::outcome_unknown));
    run_for(4s, first);
    CHECK(first.orders() == 1);
    SECTION("the engine executed the order")
    {
        first.report({loaded("1")});
        run_for(30s, first);
        CHECK(first.orders() == 1);
    }
    SECTION("the engine did not execute the order")
    {
        run_for(1s, first);
        CHECK(first.orders() == 2);
        CHECK(first.order_text(1) == "load m 1");
    }
}

// Guards against more concurrent loads than the weight store can serve.
TEST_CASE_METHOD(reconciler_fixture, "a load waits for a free slot")
{
    std::vector<std::unique_ptr<admission::weight_load_slots>> others;
    for (auto const* name : {"x", "y", "z"})
        others.push_back(std::make_unique<admission::weight_load_slots>(
            *clock, table, [](std::function<void()> const& task) { task(); },
            name));
    for (auto const& it : others)
    {
        it->request();
        it->tick();
    }
    first.configuration->set_models({configured("1")});
    for (int n = 0; n < 30; ++n)
    {
        for (auto const& it : others)
            it->tick();
        run_for(1s, first);
    }
    CHECK(first.orders() == 0);
    // A lease held while waiting would be renewed by every waiting agent.
    CHECK(table.rows().count("leases/e") == 0);
    for (auto const& it : others)
        it->release();
    run_for(7s, first);
    CHECK(first.orders() == 1);
}

} // namespace endiveward::agent
