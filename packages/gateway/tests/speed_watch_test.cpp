#include "gateway/speed_watch.hpp"

#include "gateway/endpoint_directory.hpp"
#include "gateway/endpoint_key.hpp"
#include "gateway/fact_exchange.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/types/sent_request.hpp"
#include "gateway/upstream_pool.hpp"
#include "kernel/manual_clock.hpp"
#include "observe/decision_log.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <prometheus/registry.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;
using duration = request_work::duration;

struct watch_fixture
{
    explicit watch_fixture(std::uint64_t seed = 1)
        : log(clock, "test", 0)
        , metrics(registry)
        , directory(
              [this](asio::ip::tcp::endpoint const& peer)
              {
                  return std::make_shared<upstream_pool>(
                      context, clock, std::make_shared<upstream_options>(),
                      peer);
              })
        , facts(context, clock, seed)
        , watch(clock, directory, facts, metrics, log)
    {
        clock.advance(std::chrono::seconds(100));
        facts.set_report_handler([this](wire::fact_report it)
                                 { reports.push_back(std::move(it)); });
        set_endpoints(4);
    }

    void set_endpoints(std::size_t n, kernel::incarnation incarnation = 1)
    {
        std::vector<endpoint_entry> entries;
        for (std::size_t k = 0; k < n; ++k)
        {
            endpoint_entry it;
            it.id = kernel::endpoint_id("e" + std::to_string(k));
            it.incarnation = incarnation;
            it.service = kernel::service_id(k == 3 ? "other" : "s");
            it.host = "127.0.0.1";
            it.port = static_cast<std::uint16_t>(1000 + k);
            entries.push_back(it);
        }
        directory.update(std::move(entries));
        watch.on_endpoints();
    }

    std::shared_ptr<endpoint_record> endpoint(std::size_t n)
    {
        return directory.find(kernel::endpoint_id("e" + std::to_string(n)));
    }

    /// The endpoint answers now at this speed.
    void answer(std::size_t n, double true_speed)
    {
        auto const record = endpoint(n);
        sent_request const request{
            record,
            record->generation(),
            clock.now() - milliseconds(std::lround(200 / true_speed)),
            {},
            {duration(0), duration(200)}};
        watch.on_figure(*record, work_figure{1}, "Load", "1,0,64,100");
        watch.on_first_output(request);
    }

    std::uint64_t key(std::size_t n)
    {
        return endpoint_key(endpoint(n)->entry());
    }

    kernel::manual_clock clock;
    asio::io_context context;
    prometheus::Registry registry;
    observe::decision_log log;
    gateway_metrics metrics;
    endpoint_directory directory;
    fact_exchange facts;
    speed_watch watch;
    std::vector<wire::fact_report> reports;
};

} // namespace

// Guards against changes for services whose endpoints name three numbers.
TEST_CASE("speed is learned only for services that name a figure")
{
    watch_fixture fixture;
    auto const record = fixture.endpoint(0);
    fixture.watch.on_figure(*record, no_work_figure(), "Load", "1,0,64");
    fixture.watch.on_figure(*record, unreadable_work_figure(), "Load",
                            "1,0,64,x");
    CHECK_FALSE(record->speed().enabled());
    fixture.watch.on_figure(*record, work_figure{1}, "Load", "1,0,64,100");
    CHECK(record->speed().enabled());
    CHECK(fixture.endpoint(1)->speed().enabled());
    CHECK_FALSE(fixture.endpoint(3)->speed().enabled());
}

// Guards against a router that learns only from its own few requests.
TEST_CASE("routers share what they learn about endpoints")
{
    watch_fixture from(1);
    watch_fixture to(2);
    from.answer(0, 0.6);
    from.context.run();
    REQUIRE(from.reports.size() == 1);
    REQUIRE(from.reports[0].facts.size() == 1);
    CHECK(from.reports[0].facts[0].kind == wire::fact_kind::endpoint_speed);
    CHECK(from.reports[0].facts[0].key == from.key(0));
    to.facts.on_report(from.reports[0]);
    CHECK(to.endpoint(0)->speed().learned(to.clock.now()) < 0.8);
    CHECK(to.endpoint(1)->speed().enabled());
    // The report returns to its author through another agent.
    auto const before = from.endpoint(0)->speed().learned(from.clock.now());
    from.facts.on_report(from.reports[0]);
    CHECK(from.endpoint(0)->speed().learned(from.clock.now()) == before);
}

// Guards against facts that a message from another version or an endpoint that
// has left makes harmful.
TEST_CASE("facts that fit no endpoint or no speed are ignored")
{
    watch_fixture fixture;
    auto const state = [&](std::uint64_t fact_key, double value)
    {
        static std::uint32_t revision = 0;
        fixture.facts.on_report({{{wire::fact_kind::endpoint_speed,
                                   fact_key,
                                   7,
                                   value,
                                   ++revision,
                                   {}}}});
    };
    state(12345, 0.5);
    CHECK_FALSE(fixture.endpoint(0)->speed().enabled());
    for (auto const bad : {0.0, -2.0, std::nan("")})
        state(fixture.key(0), bad);
    CHECK(fixture.endpoint(0)->speed().learned(fixture.clock.now()) == 1);
    state(fixture.key(0), 1e12);
    CHECK(fixture.endpoint(0)->speed().learned(fixture.clock.now()) <=
          endpoint_speed::max_factor);
}

// Guards against a restarted endpoint that keeps the speed of its earlier
// incarnation, and against one that starts without the service's mean.
TEST_CASE("a restarted or new endpoint begins with the mean of its service")
{
    watch_fixture fixture;
    fixture.set_endpoints(2);
    for (int n = 0; n < 10; ++n)
    {
        fixture.clock.advance(milliseconds(500));
        fixture.answer(0, 0.5);
        fixture.answer(1, 0.8);
        fixture.watch.update(1);
    }
    auto const now = fixture.clock.now();
    CHECK(fixture.endpoint(0)->speed().learned(now) < 0.6);
    fixture.set_endpoints(3, 2);
    for (std::size_t n = 0; n < 3; ++n)
    {
        auto const learned = fixture.endpoint(n)->speed().learned(now);
        CHECK(learned > 0.58);
        CHECK(learned < 0.68);
        CHECK_FALSE(fixture.endpoint(n)->speed().has_samples(now));
    }
}

// Guards against a late answer of an earlier incarnation.
TEST_CASE("answers to requests of an earlier incarnation teach nothing")
{
    watch_fixture fixture;
    fixture.answer(0, 1);
    auto const record = fixture.endpoint(0);
    sent_request const request{record,
                               record->generation(),
                               fixture.clock.now(),
                               {},
                               {duration(0), duration(200)}};
    fixture.set_endpoints(4, 2);
    fixture.clock.advance(milliseconds(2000));
    fixture.watch.on_first_output(request);
    CHECK_FALSE(record->speed().own_factor());
}

// Guards against facts whose number grows with routers times endpoints.
TEST_CASE("the number of shared factors is bounded")
{
    watch_fixture fixture;
    fixture.watch.update(330);
    for (int n = 0; n < 1000; ++n)
    {
        fixture.clock.advance(milliseconds(10));
        fixture.answer(static_cast<std::size_t>(n) % 3, 1);
    }
    fixture.context.run();
    // The revision grows with each value that is shared.
    std::uint32_t shared = 0;
    for (auto const& report : fixture.reports)
    {
        for (auto const& it : report.facts)
            shared = std::max(shared, it.revision);
    }
    // Ten seconds; each of 330 processes has its share of 500 a second.
    CHECK(shared <= 16);
    CHECK(shared >= 3);
}

} // namespace endiveward::gateway
