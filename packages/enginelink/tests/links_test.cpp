#include "enginelink/agent_links.hpp"
#include "enginelink/i_engine_listener.hpp"
#include "enginelink/i_row_source.hpp"
#include "enginelink/link_options.hpp"
#include "enginelink/state_publisher.hpp"
#include "kernel/seeded_random_source.hpp"
#include "kernel/system_clock.hpp"
#include "kernel/tests/support/run_on.hpp"
#include "kernel/thread_pool.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace endiveward::enginelink
{

namespace
{

struct fake_row_source : i_row_source
{
    std::vector<wire::table_row>
    rows_after(kernel::store_position const& after) const override
    {
        std::lock_guard const lock(mutex);
        std::vector<wire::table_row> res;
        for (auto const& it : rows)
        {
            if (it.position > after)
                res.push_back(it);
        }
        return res;
    }

    void merge(std::vector<wire::table_row> const& more) override
    {
        std::lock_guard const lock(mutex);
        rows.insert(rows.end(), more.begin(), more.end());
    }

    kernel::store_position position() const override
    {
        std::lock_guard const lock(mutex);
        return rows.empty() ? kernel::store_position() : rows.back().position;
    }

    void on_named_era(std::uint64_t era) override
    {
        std::lock_guard const lock(mutex);
        named_era = std::max(named_era, era);
    }

    std::uint64_t newest_named_era() const
    {
        std::lock_guard const lock(mutex);
        return named_era;
    }

    std::size_t size() const
    {
        std::lock_guard const lock(mutex);
        return rows.size();
    }

    mutable std::mutex mutex;
    std::vector<wire::table_row> rows;
    std::uint64_t named_era = 0;
};

struct recording_listener : i_engine_listener
{
    void on_engine_state(kernel::endpoint_id const&,
                         wire::engine_state const& it) override
    {
        std::lock_guard const lock(mutex);
        state = it;
        ++states;
    }

    void on_cache_change(kernel::endpoint_id const&,
                         wire::cache_change const& change) override
    {
        std::lock_guard const lock(mutex);
        if (change.reset)
            parts.clear();
        for (auto const& it : change.parts)
        {
            if (it.tokens == 0)
                parts.erase(it.key);
            else
                parts[it.key] = it.tokens;
        }
    }

    void on_part_report(wire::part_report const& report) override
    {
        std::lock_guard const lock(mutex);
        crashes.insert(crashes.end(), report.crashes.begin(),
                       report.crashes.end());
    }

    void on_limit_report(wire::limit_report const& report) override
    {
        std::lock_guard const lock(mutex);
        limits.insert(limits.end(), report.changes.begin(),
                      report.changes.end());
        requests.insert(requests.end(), report.requests.begin(),
                        report.requests.end());
    }

    void on_fact_report(wire::fact_report const& report) override
    {
        std::lock_guard const lock(mutex);
        for (auto const& it : report.facts)
            facts[it.key] = it.value;
    }

    void on_origin_answer(wire::origin_answer const& answer) override
    {
        std::lock_guard const lock(mutex);
        origin_answers.push_back(answer);
    }

    bool knows_limit(std::uint64_t endpoint) const
    {
        std::lock_guard const lock(mutex);
        return std::any_of(limits.begin(), limits.end(),
                           [endpoint](auto const& it)
                           { return it.endpoint == endpoint; });
    }

    bool has_fact(std::uint64_t key, double value) const
    {
        std::lock_guard const lock(mutex);
        auto const found = facts.find(key);
        return found != facts.end() && found->second == value;
    }

    bool knows(std::uint64_t part) const
    {
        std::lock_guard const lock(mutex);
        return std::any_of(crashes.begin(), crashes.end(),
                           [part](auto const& it) { return it.part == part; });
    }

    void on_link_lost(kernel::endpoint_id const&) override { ++lost; }

    template <typename F>
    auto check(F test) const
    {
        std::lock_guard const lock(mutex);
        return test();
    }

    mutable std::mutex mutex;
    wire::engine_state state;
    std::map<std::uint64_t, std::uint32_t> parts;
    std::vector<wire::part_crash> crashes;
    std::map<std::uint64_t, double> facts;
    std::vector<wire::limit_change> limits;
    std::vector<wire::limited_request> requests;
    std::vector<wire::origin_answer> origin_answers;
    std::atomic<int> states{0};
    std::atomic<int> lost{0};
};

bool wait_until(std::function<bool()> const& test)
{
    for (int n = 0; n < 4000; ++n)
    {
        if (test())
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return false;
}

std::shared_ptr<link_identity> identity(wire::process_role role)
{
    return std::make_shared<link_identity>(role, kernel::process_id("p"),
                                           kernel::zone_id("z"),
                                           kernel::system_clock());
}

wire::cluster_key const key{"0123456789012345678901234567890123456789"};

struct test_agent
{
    explicit test_agent(wire::cluster_key secret = key,
                        std::shared_ptr<wire::i_local_identity const> self =
                            identity(wire::process_role::agent))
        : pool(1)
        , publisher(pool, clock, std::move(secret), std::move(self), rows)
    {
        port = kernel::value(publisher.listen("127.0.0.1", 0));
        pool.start();
    }

    ~test_agent()
    {
        run([this] { publisher.close(); });
        // That task only posts the closing, which may run after the next task,
        // but not after the second one.
        run([] {});
        run([] {});
        pool.stop();
        pool.discard_handlers();
    }

    void run(std::function<void()> work)
    {
        kernel::tests::run_on(pool.context(0), std::move(work));
    }

    kernel::system_clock clock;
    fake_row_source rows;
    kernel::thread_pool pool;
    state_publisher publisher;
    std::uint16_t port = 0;
};

/// A process of a program version that knows no reports of other routers.
struct earlier_identity : wire::i_local_identity
{
    wire::hello describe() const override
    {
        auto res = identity(wire::process_role::router)->describe();
        res.accepts_part_reports = false;
        res.accepts_limit_reports = false;
        res.accepts_stream_origins = false;
        res.accepts_facts = false;
        return res;
    }
};

struct test_router
{
    explicit test_router(std::shared_ptr<wire::i_local_identity const> self =
                             identity(wire::process_role::router))
        : random(1)
        , pool(1)
        , links(pool.context(0), clock, random, key, std::move(self), listener,
                rows)
    {
        pool.start();
    }

    ~test_router()
    {
        run([this] { links.close(); });
        pool.stop();
        pool.discard_handlers();
    }

    void run(std::function<void()> work)
    {
        kernel::tests::run_on(pool.context(0), std::move(work));
    }

    void connect(std::uint16_t port)
    {
        run(
            [&] {
                links.update({{kernel::endpoint_id("e"), "127.0.0.1", port}});
            });
    }

    kernel::system_clock clock;
    kernel::seeded_random_source random;
    recording_listener listener;
    fake_row_source rows;
    kernel::thread_pool pool;
    agent_links links;
};

wire::engine_state make_state(bool reloading)
{
    wire::engine_state res;
    res.endpoint_incarnation = 1;
    res.weights = {{kernel::model_id("m"), 3}};
    res.reloading = reloading;
    return res;
}

} // namespace

TEST_CASE("a router receives state and cache on connecting, then changes")
{
    test_agent a;
    a.run(
        [&]
        {
            a.publisher.publish(make_state(false));
            a.publisher.publish_cache(true, {{1, 10}, {2, 20}});
            a.publisher.publish_cache(false, {{1, 0}});
        });
    test_router r;
    r.connect(a.port);
    REQUIRE(wait_until(
        [&]
        {
            return r.listener.check(
                [&]
                {
                    return r.listener.parts ==
                           std::map<std::uint64_t, std::uint32_t>{{2, 20}};
                });
        }));
    // Reloading is published immediately, regardless of what was sent before.
    a.run([&] { a.publisher.publish(make_state(true)); });
    CHECK(wait_until(
        [&] {
            return r.listener.check([&] { return r.listener.state.reloading; });
        }));
    CHECK(r.listener.check([&] { return r.listener.state.routers; }) == 1);
}

// Guards against routers that each learn of a part by crashes of their own, and
// against one that starts anew with each restart.
TEST_CASE("what a router learns of a prompt part reaches the other routers")
{
    test_agent a;
    test_router first;
    test_router second;
    test_router earlier(std::make_shared<earlier_identity>());
    for (auto* it : {&first, &second, &earlier})
        it->connect(a.port);
    REQUIRE(wait_until(
        [&]
        {
            return first.listener.states > 0 && second.listener.states > 0 &&
                   earlier.listener.states > 0;
        }));
    wire::part_report report;
    report.crashes = {{7, 1, 2, std::chrono::milliseconds(3)}};
    first.run([&] { first.links.send_part_report(report); });
    CHECK(wait_until([&] { return second.listener.knows(7); }));
    test_router third;
    third.connect(a.port);
    CHECK(wait_until([&] { return third.listener.knows(7); }));
    // It would close its link.
    CHECK_FALSE(earlier.listener.knows(7));
    CHECK(earlier.listener.lost == 0);
}

// Guards against routers that each use the whole limit of an endpoint, and
// against one that starts anew and does not know it.
TEST_CASE("the limit of an endpoint and requests to it reach all routers")
{
    test_agent a;
    test_router first;
    test_router second;
    test_router earlier(std::make_shared<earlier_identity>());
    for (auto* it : {&first, &second, &earlier})
        it->connect(a.port);
    REQUIRE(wait_until(
        [&]
        {
            return first.listener.states > 0 && second.listener.states > 0 &&
                   earlier.listener.states > 0;
        }));
    first.run(
        [&] {
            first.links.send_limit_report({{{7, 1.5, false}}, {{7, 1}}});
        });
    CHECK(wait_until([&] { return second.listener.knows_limit(7); }));
    CHECK(
        second.listener.check([&] { return second.listener.requests.size(); }));
    test_router third;
    third.connect(a.port);
    CHECK(wait_until([&] { return third.listener.knows_limit(7); }));
    // Requests that were sent before it started are not counted again.
    CHECK(
        third.listener.check([&] { return third.listener.requests.empty(); }));
    // It would close its link.
    CHECK_FALSE(earlier.listener.knows_limit(7));
    CHECK(earlier.listener.lost == 0);
    first.run(
        [&] {
            first.links.send_limit_report({{{7, 0, true}, {8, 2, false}}, {}});
        });
    REQUIRE(wait_until([&] { return second.listener.knows_limit(8); }));
    test_router last;
    last.connect(a.port);
    REQUIRE(wait_until([&] { return last.listener.knows_limit(8); }));
    CHECK_FALSE(last.listener.knows_limit(7));
}

// Guards against routers that use a limit without counting the others' use, and
// against agents that start anew and cannot tell a router that starts later.
TEST_CASE("facts reach all routers, also through an agent that starts later")
{
    test_router first;
    test_router second;
    test_router earlier(std::make_shared<earlier_identity>());
    auto const fact = [](std::uint64_t key, double value)
    {
        return wire::fact_report{
            {{wire::fact_kind::workspace_use, key, 1, value, 1, {}}}};
    };
    first.run([&] { first.links.send_fact_report(fact(1, 10)); });
    test_agent a;
    for (auto* it : {&first, &second, &earlier})
        it->connect(a.port);
    CHECK(wait_until([&] { return second.listener.has_fact(1, 10); }));
    first.run([&] { first.links.send_fact_report(fact(2, 20)); });
    CHECK(wait_until([&] { return second.listener.has_fact(2, 20); }));
    test_router third;
    third.connect(a.port);
    CHECK(wait_until([&] { return third.listener.has_fact(1, 10); }));
    CHECK(wait_until([&] { return third.listener.has_fact(2, 20); }));
    // It would close its link.
    CHECK_FALSE(earlier.listener.has_fact(2, 20));
    CHECK(earlier.listener.lost == 0);
}

// Guards against hundreds of messages at the crash of many engines, and against
// routers that rely on different agents.
TEST_CASE("all routers send their reports to the same few agents")
{
    std::vector<std::unique_ptr<test_agent>> agents;
    std::vector<agent_address> addresses;
    for (int n = 0; n < 6; ++n)
    {
        agents.push_back(std::make_unique<test_agent>());
        agents.back()->rows.merge({{"row", "1", {0, 9}}});
        addresses.push_back({kernel::endpoint_id("e" + std::to_string(n)),
                             "127.0.0.1", agents.back()->port});
    }
    test_router sender;
    test_router other;
    for (auto* it : {&sender, &other})
        it->run([&] { it->links.update(addresses); });
    REQUIRE(wait_until(
        [&]
        { return sender.listener.states >= 6 && other.listener.states >= 6; }));
    wire::part_report report;
    report.crashes = {{7, 1, 2, std::chrono::milliseconds(3)}};
    sender.run([&] { sender.links.send_part_report(report); });
    other.run([&] { other.links.send_part_report(report); });
    REQUIRE(wait_until([&] { return sender.listener.knows(7); }));
    std::size_t informed = 0;
    for (auto const& it : agents)
    {
        test_router late;
        late.connect(it->port);
        REQUIRE(wait_until([&] { return late.listener.states > 0; }));
        // The answer follows what the agent sends on connecting.
        late.run([&] { late.links.request_rows(); });
        REQUIRE(wait_until([&] { return late.rows.position().version == 9; }));
        informed += late.listener.knows(7) ? 1 : 0;
    }
    CHECK(informed == 3);
}

// Guards against configuration changes that do not reach a process whose
// requests the store rejects.
TEST_CASE("processes exchange rows of the operators' table")
{
    test_agent a;
    a.rows.merge({{"config", "new", {0, 7}}});
    test_router r;
    r.connect(a.port);
    REQUIRE(wait_until([&] { return r.listener.states > 0; }));
    r.run([&] { r.links.request_rows(); });
    CHECK(wait_until([&] { return r.rows.position().version == 7; }));
    r.rows.merge({{"version", "2", {0, 9}}});
    a.run([&] { a.publisher.request_rows(); });
    CHECK(wait_until([&] { return a.rows.position().version == 9; }));
    // Only newer rows are sent.
    CHECK(a.rows.size() == 2);
}

// Guards against agents that miss new weights, since they do not follow the
// table while routers are connected.
TEST_CASE("a row that a router sends reaches the agent")
{
    test_agent a;
    test_router r;
    r.connect(a.port);
    REQUIRE(wait_until([&] { return r.listener.states > 0; }));
    r.run([&] { r.links.send_row({"version", "2", {0, 9}}); });
    CHECK(wait_until([&] { return a.rows.position().version == 9; }));
    std::optional<kernel::steady_time> requested;
    a.run([&] { requested = a.publisher.last_row_request(); });
    CHECK_FALSE(requested);
    r.run([&] { r.links.request_rows(); });
    CHECK(wait_until(
        [&]
        {
            a.run([&] { requested = a.publisher.last_row_request(); });
            return requested.has_value();
        }));
}

// Guards against an agent that misses new weights for the period of its own
// calls: its connections are reset at the moment at which the weights are
// named, and are back before it notices that it has no routers.
TEST_CASE("a row that was sent while the link was down follows on connecting")
{
    test_agent a;
    test_router r;
    r.run([&] { r.links.send_row({"version", "2", {0, 9}}); });
    r.run([&] { r.links.send_row({"version", "3", {0, 11}}); });
    r.connect(a.port);
    CHECK(wait_until([&] { return a.rows.position().version == 11; }));
    CHECK(a.rows.size() == 1);
}

// Guards against a process that follows an old era of the store although others
// already know of the restore.
TEST_CASE("a request for rows tells the other process the era of the store")
{
    test_agent a;
    a.rows.merge({{"config", "old", {1, 70}}});
    test_router r;
    r.rows.merge({{"config", "new", {2, 7}}});
    r.connect(a.port);
    REQUIRE(wait_until([&] { return r.listener.states > 0; }));
    r.run([&] { r.links.request_rows(); });
    CHECK(wait_until([&] { return a.rows.newest_named_era() == 2; }));
    a.run([&] { a.publisher.request_rows(); });
    CHECK(wait_until([&] { return a.rows.position().era == 2; }));
    // The agent names the era of its position, which may be the new one by now.
    CHECK(wait_until([&] { return r.rows.newest_named_era() >= 1; }));
    // No row of the old era was sent for the request from the new one.
    CHECK(r.rows.size() == 1);
}

// Guards against a router that starts after a restore and uses a configuration
// that is older than what the agents have read before.
TEST_CASE("a router asks an agent of an older era for what the store lost")
{
    test_agent a;
    a.rows.merge({{"config", "newest", {1, 70}}});
    test_router r;
    r.rows.merge({{"config", "copy", {2, 7}}});
    r.connect(a.port);
    std::optional<kernel::steady_time> requested;
    CHECK(wait_until(
        [&]
        {
            a.run([&] { requested = a.publisher.last_row_request(); });
            return requested.has_value();
        }));
    CHECK(wait_until([&] { return a.rows.newest_named_era() == 2; }));
}

// Guards against calls of agents to the store that a router causes which only
// connects, and against the whole table on each of hundreds of links that open
// at a time.
TEST_CASE("links of one era exchange no rows on connecting")
{
    test_agent a;
    a.rows.merge({{"config", "1", {2, 7}}});
    test_router r;
    r.rows.merge({{"config", "2", {2, 8}}});
    r.connect(a.port);
    REQUIRE(wait_until([&] { return r.rows.newest_named_era() == 2; }));
    r.run([&] { r.links.send_row({"last", "1", {2, 9}}); });
    REQUIRE(wait_until([&] { return a.rows.position().version == 9; }));
    CHECK(a.rows.size() == 2);
    CHECK(r.rows.size() == 1);
    std::optional<kernel::steady_time> requested;
    a.run([&] { requested = a.publisher.last_row_request(); });
    CHECK_FALSE(requested);
}

// Guards against an agent that asks all routers for the whole table because it
// has not read it yet.
TEST_CASE("an agent that knows no era asks for no rows on connecting")
{
    test_agent a;
    test_router r;
    r.rows.merge({{"config", "2", {2, 8}}});
    r.connect(a.port);
    REQUIRE(wait_until([&] { return r.listener.states > 0; }));
    r.run([&] { r.links.send_row({"last", "1", {2, 9}}); });
    REQUIRE(wait_until([&] { return a.rows.position().version == 9; }));
    CHECK(a.rows.size() == 1);
}

// Guards against an agent that gets the row of the era before the restore
// because its version is greater.
TEST_CASE("the row sent last counts, also if the store was restored")
{
    test_agent a;
    test_router r;
    r.run([&] { r.links.send_row({"version", "3", {1, 90}}); });
    r.run([&] { r.links.send_row({"version", "4", {2, 11}}); });
    r.connect(a.port);
    CHECK(wait_until(
        [&] {
            return a.rows.position() == kernel::store_position{2, 11};
        }));
    CHECK(a.rows.size() == 1);
}

TEST_CASE("a lost link is reported")
{
    test_router r;
    std::uint16_t port = 0;
    {
        test_agent a;
        port = a.port;
        a.run([&] { a.publisher.publish(make_state(false)); });
        r.connect(port);
        REQUIRE(wait_until([&] { return r.listener.states > 0; }));
    }
    CHECK(wait_until([&] { return r.listener.lost > 0; }));
    CHECK(r.links.connected() == 0);
}

// Guards against an outsider on the network that influences routing.
TEST_CASE("an agent with another cluster key is rejected")
{
    test_agent a(wire::cluster_key{"another key, but of the right length too"});
    test_router r;
    r.connect(a.port);
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    CHECK(r.listener.states == 0);
}

// Guards against a flood after a common failure: an agent that has not read the
// newest rows yet got them from each router that connects, which for 103
// routers and 180 agents are half a gigabyte of configurations.
TEST_CASE("an agent does not ask for rows of its own era on connecting")
{
    test_agent a;
    a.rows.merge({{"config", "1", {2, 8}}});
    test_router r;
    r.rows.merge({{"config", "2", {2, 9}}});
    r.connect(a.port);
    REQUIRE(wait_until([&] { return r.rows.newest_named_era() == 2; }));
    // A further message, so that rows sent before would be there.
    r.run([&] { r.links.send_row({"last", "1", {2, 10}}); });
    REQUIRE(wait_until([&] { return a.rows.position().version == 10; }));
    CHECK(a.rows.size() == 2);
}

// Guards against streams that cannot be taken up because the router that began
// them has ended, or because an agent that kept their origin has restarted.
TEST_CASE("another router learns from the agents where a stream began")
{
    wire::stream_origin const origin{7, kernel::service_id("s"),
                                     kernel::software_version("v1"),
                                     std::chrono::seconds(30)};
    auto const ask = [](test_router& router, std::uint64_t stream)
    {
        auto const before = router.listener.check(
            [&] { return router.listener.origin_answers.size(); });
        std::size_t asked = 0;
        router.run(
            [&]
            {
                asked = router.links.send_origin_query(
                    {1, stream, kernel::service_id("s")});
            });
        CHECK(asked == 1);
        REQUIRE(wait_until(
            [&]
            {
                return router.listener.check(
                    [&]
                    { return router.listener.origin_answers.size() > before; });
            }));
        return router.listener.check(
            [&] { return router.listener.origin_answers.back(); });
    };
    auto agent = std::make_unique<test_agent>();
    test_router second;
    {
        test_router first;
        first.connect(agent->port);
        REQUIRE(wait_until([&] { return first.links.connected() == 1; }));
        first.run([&] { first.links.send_stream_origins({{origin}}); });
        // The answer comes after the agent has kept the origin.
        auto const own = ask(first, 7);
        REQUIRE(own.origin);
    }
    second.connect(agent->port);
    REQUIRE(wait_until([&] { return second.links.connected() == 1; }));
    auto const known = ask(second, 7);
    REQUIRE(known.origin);
    CHECK(known.origin->software == origin.software);
    CHECK(known.versions == std::vector{origin.software});
    CHECK_FALSE(ask(second, 8).origin);
}

TEST_CASE("an agent of an earlier program version is not asked for origins")
{
    struct earlier_agent : wire::i_local_identity
    {
        wire::hello describe() const override
        {
            auto res = identity(wire::process_role::agent)->describe();
            res.accepts_stream_origins = false;
            return res;
        }
    };
    test_agent agent(key, std::make_shared<earlier_agent>());
    test_router router;
    router.connect(agent.port);
    REQUIRE(wait_until([&] { return router.listener.states > 0; }));
    std::size_t asked = 1;
    router.run(
        [&]
        {
            router.links.send_stream_origins(
                {{{7, kernel::service_id("s"), kernel::software_version("v1"),
                   std::chrono::seconds(30)}}});
            asked =
                router.links.send_origin_query({1, 7, kernel::service_id("s")});
        });
    CHECK(asked == 0);
    CHECK(router.listener.lost == 0);
}

} // namespace endiveward::enginelink
