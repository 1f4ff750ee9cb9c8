#include "gateway/fact_exchange.hpp"

#include "kernel/manual_clock.hpp"

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <vector>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;
using wire::fact_kind;

struct fixture
{
    explicit fixture(std::uint64_t seed = 1)
        : facts(context, clock, seed)
    {
        facts.set_report_handler([this](wire::fact_report it)
                                 { sent.push_back(std::move(it)); });
        facts.set_handler(fact_kind::workspace_use, [this](wire::fact const& it)
                          { received.push_back(it); });
    }

    /// Runs until all planned reports have been sent.
    void run()
    {
        context.restart();
        context.run();
    }

    asio::io_context context;
    kernel::manual_clock clock;
    fact_exchange facts;
    std::vector<wire::fact_report> sent;
    std::vector<wire::fact> received;
};

wire::fact use(std::uint64_t key, std::uint64_t source, double value,
               std::uint32_t revision)
{
    return {fact_kind::workspace_use, key, source, value, revision, {}};
}

} // namespace

// Guards against a message for each statement.
TEST_CASE("facts that are stated together are reported together")
{
    fixture f;
    f.facts.state(fact_kind::workspace_use, 1, 7, 10);
    f.facts.state(fact_kind::workspace_use, 2, 7, 20);
    f.facts.state(fact_kind::workspace_use, 1, 7, 30);
    CHECK(f.sent.empty());
    f.run();
    REQUIRE(f.sent.size() == 1);
    REQUIRE(f.sent[0].facts.size() == 2);
    for (auto const& it : f.sent[0].facts)
        CHECK(it.value == (it.key == 1 ? 30 : 20));
    // What has been reported is not reported again.
    f.facts.state(fact_kind::workspace_use, 2, 7, 25);
    f.run();
    REQUIRE(f.sent.size() == 2);
    REQUIRE(f.sent[1].facts.size() == 1);
    CHECK(f.sent[1].facts[0].value == 25);
}

// Guards against a first value that reaches the others only after the interval
// of reports, in which they use the same limit.
TEST_CASE("reports are sent soon, and at most one in a tenth of a second")
{
    fixture f;
    auto const start = std::chrono::steady_clock::now();
    auto const passed = [&]
    { return std::chrono::steady_clock::now() - start; };
    f.facts.state(fact_kind::workspace_use, 1, 7, 10);
    f.run();
    REQUIRE(f.sent.size() == 1);
    f.facts.state(fact_kind::workspace_use, 1, 7, 20);
    f.run();
    CHECK(f.sent.size() == 2);
    CHECK(passed() >= milliseconds(100));
}

// Guards against use that counts twice: a router's own, which comes back
// through an agent, or that of another, which comes through several.
TEST_CASE("a router is told of each new value of the others once")
{
    fixture f;
    f.facts.state(fact_kind::workspace_use, 1, 7, 10);
    f.run();
    f.facts.on_report(f.sent.at(0));
    CHECK(f.received.empty());
    wire::fact_report const report{{use(1, 8, 5, 1), use(2, 8, 6, 2)}};
    for (int n = 0; n < 3; ++n)
        f.facts.on_report(report);
    CHECK(f.received.size() == 2);
    f.facts.on_report({{use(1, 8, 9, 3)}});
    REQUIRE(f.received.size() == 3);
    CHECK(f.received.back().value == 9);
}

// Guards against facts of a kind that this version does not know.
TEST_CASE("facts without a handler are ignored")
{
    fixture f;
    f.facts.on_report({{{fact_kind::endpoint_speed, 1, 2, 3, 1, {}}}});
    CHECK(f.received.empty());
    CHECK(f.sent.empty());
}

// Guards against the facts of a restarted process that are taken for earlier
// values of the same source.
TEST_CASE("a restarted process is another source")
{
    fixture first;
    fixture second;
    second.clock.advance(milliseconds(1));
    fact_exchange restarted(second.context, second.clock, 1);
    CHECK(first.facts.source() != restarted.source());
    CHECK(first.facts.source() != fixture(2).facts.source());
}

} // namespace endiveward::gateway
