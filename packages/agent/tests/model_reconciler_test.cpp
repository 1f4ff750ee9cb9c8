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

config::endpoint_model wanted(char const* version)
{
    return {kernel::model_id("m"), kernel::model_version(version)};
}

/// One agent of the endpoint `e`.
struct orderer
{
    orderer(std::shared_ptr<kernel::manual_clock> const& clock,
            storage::i_table& table, std::string const& holder)
        : queue(std::make_shared<fake_queue>(*clock))
        , load(std::make_shared<load_reporter>(queue, 5, 16))
    {
        auto const post = [](std::function<void()> const& task) { task(); };
        reconciler_services services;
        services.clock = clock;
        services.random = std::make_shared<kernel::seeded_random_source>(1);
        services.configuration = configuration;
        services.load = load;
        services.endpoint = endpoint;
        services.lease = std::make_shared<admission::table_lease>(
            *clock, table, post,
            admission::table_lease_options{"leases/e", holder});
        services.slots = std::make_shared<admission::weight_load_slots>(
            *clock, table, post, holder);
        services.metrics = std::make_shared<agent_metrics>(
            std::make_shared<prometheus::Registry>());
        reconciler = std::make_shared<model_reconciler>(
            std::move(services), kernel::endpoint_id("e"));
        report({});
    }

    void report(std::vector<wire::loaded_model> models) const
    {
        engine_load newest;
        newest.incarnation = 7;
        newest.models = std::move(models);
        load->update_engine_load(newest);
    }
    void answer(kernel::result<kernel::done> const& res) const
    {
        endpoint->orders.back().second(res);
    }
    std::string order(std::size_t n) const
    {
        auto const& it = endpoint->orders.at(n).first;
        return it.order + " " + it.model + " " + it.version;
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
    void run_for(std::chrono::seconds duration, orderer const& it)
    {
        for (auto n = 0s; n < duration; ++n)
        {
            clock->advance(1s);
            it.reconciler->tick();
        }
    }
    kernel::error failed(kernel::error_kind kind) const
    {
        return {kind, "failed", kernel::run_state::unknown, {}};
    }

    std::shared_ptr<kernel::manual_clock> clock =
        std::make_shared<kernel::manual_clock>();
    storage::tests::fake_table table;
    orderer first{clock, table, "first"};
    orderer second{clock, table, "second"};
};

} // namespace

// Guards against an engine that stays without its models, and against a change
// of versions that unloads the old one before the new one serves.
TEST_CASE_METHOD(reconciler_fixture, "the engine is led to the wanted models")
{
    first.configuration->set_models({wanted("2")});
    first.report({loaded("1")});
    first.reconciler->tick();
    REQUIRE(first.orders() == 1);
    CHECK(first.order(0) == "load m 2");
    CHECK(first.endpoint->orders[0].first.fencing_number == 1);
    run_for(3s, first);
    CHECK(first.orders() == 1);
    first.answer(kernel::done{});
    first.report({loaded("1"), loaded("2")});
    run_for(1s, first);
    REQUIRE(first.orders() == 2);
    CHECK(first.order(1) == "unload m 1");
    first.answer(kernel::done{});
    first.report({loaded("2")});
    run_for(20s, first);
    CHECK(first.orders() == 2);
}

// Guards against renewals of idle leases, which would take most of the table's
// writes, and against orders to engines that others manage.
TEST_CASE_METHOD(reconciler_fixture, "the table is only used for due orders")
{
    SECTION("no list")
    {
        first.report({loaded("1")});
    }
    SECTION("nothing to do")
    {
        first.configuration->set_models({wanted("1")});
        first.report({loaded("1")});
    }
    SECTION("engine lost")
    {
        first.configuration->set_models({wanted("1")});
        first.load->mark_engine_lost();
    }
    SECTION("draining")
    {
        first.configuration->set_models({wanted("1")});
        first.queue->drain();
    }
    run_for(30s, first);
    CHECK(first.orders() == 0);
    CHECK(table.commits() == 0);
    CHECK(table.reads() == 0);
}

// Guards against a lease or slot that stays taken when all orders are done.
TEST_CASE_METHOD(reconciler_fixture, "lease and slot are given back")
{
    first.configuration->set_models({wanted("1")});
    first.reconciler->tick();
    first.answer(kernel::done{});
    first.report({loaded("1")});
    run_for(1s, first);
    auto const commits = table.commits();
    run_for(30s, first);
    CHECK(table.commits() == commits);
    second.configuration->set_models({wanted("1")});
    second.reconciler->tick();
    REQUIRE(second.orders() == 1);
    CHECK(second.endpoint->orders[0].first.fencing_number == 2);
}

// Guards against orders of a process that was paused beyond its lease.
TEST_CASE_METHOD(reconciler_fixture, "a paused holder gives no orders")
{
    first.configuration->set_models({wanted("1")});
    second.configuration->set_models({wanted("2")});
    first.reconciler->tick();
    REQUIRE(first.orders() == 1);
    // The first agent is paused now; the second one waits for the expiry.
    run_for(9s, second);
    CHECK(second.orders() == 0);
    run_for(10s, second);
    REQUIRE(second.orders() == 1);
    CHECK(second.endpoint->orders[0].first.fencing_number == 2);
    first.answer(failed(kernel::error_kind::conflict));
    for (int n = 0; n < 30; ++n)
    {
        run_for(1s, second);
        first.reconciler->tick();
    }
    CHECK(first.orders() == 1);
}

// Guards against an engine that does not check fencing numbers and carries out
// the late order of a former holder.
TEST_CASE_METHOD(reconciler_fixture, "the effect of a late order is undone")
{
    first.configuration->set_models({wanted("2")});
    first.report({loaded("2")});
    run_for(5s, first);
    REQUIRE(first.orders() == 0);
    first.report({loaded("1"), loaded("2")});
    run_for(1s, first);
    REQUIRE(first.orders() == 1);
    CHECK(first.order(0) == "unload m 1");
    first.answer(kernel::done{});
    first.report({loaded("1")});
    run_for(1s, first);
    REQUIRE(first.orders() == 2);
    CHECK(first.order(1) == "load m 2");
}

// Guards against loads that nobody can count.
TEST_CASE_METHOD(reconciler_fixture, "without the table no load starts")
{
    first.configuration->set_models({wanted("1")});
    table.set_unavailable(true);
    run_for(30s, first);
    CHECK(first.orders() == 0);
    table.set_unavailable(false);
    run_for(7s, first);
    CHECK(first.orders() == 1);
}

// Guards against two agents that order one engine at the same time, and
// against an agent that holds a lease or a slot that the other one needs.
TEST_CASE_METHOD(reconciler_fixture, "one of two agents gives the orders")
{
    for (auto const* it : {&first, &second})
        it->configuration->set_models({wanted("1")});
    for (int n = 0; n < 30; ++n)
    {
        run_for(1s, first);
        second.reconciler->tick();
    }
    CHECK(first.orders() + second.orders() == 1);
    first.answer(kernel::done{});
    for (auto const* it : {&first, &second})
        it->report({loaded("1")});
    for (int n = 0; n < 30; ++n)
    {
        run_for(1s, first);
        second.reconciler->tick();
    }
    CHECK(first.orders() + second.orders() == 1);
}

// Guards against a second load when only the answer of the first was lost, and
// against a load that is given up when the order itself was lost.
TEST_CASE_METHOD(reconciler_fixture, "a lost answer is decided by the report")
{
    first.configuration->set_models({wanted("1")});
    first.reconciler->tick();
    REQUIRE(first.orders() == 1);
    first.answer(failed(kernel::error_kind::outcome_unknown));
    run_for(4s, first);
    CHECK(first.orders() == 1);
    SECTION("the engine carried it out")
    {
        first.report({loaded("1")});
        run_for(30s, first);
        CHECK(first.orders() == 1);
    }
    SECTION("the engine did not")
    {
        run_for(1s, first);
        CHECK(first.orders() == 2);
        CHECK(first.order(1) == "load m 1");
    }
}

// Guards against more loads at once than the weight store carries.
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
    first.configuration->set_models({wanted("1")});
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
