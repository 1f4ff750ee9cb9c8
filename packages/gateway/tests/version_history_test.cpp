#include "gateway/tests/support/versioned_streams.hpp"
#include "kernel/system_clock.hpp"
#include "resumption/recorded_versions.hpp"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace endiveward::gateway
{

using namespace tests;

namespace
{

/// Lets agents be asked and answer as the test says.
void set_agents(test_gateway& gate, std::size_t asked,
                std::vector<wire::origin_answer> answers)
{
    gate.run(
        [&]
        {
            gate.get().set_origin_handlers(
                [](wire::stream_origins const&) {},
                [&gate, asked, answers](wire::origin_query const& query)
                {
                    gate.post(
                        [&gate, asked, answers, id = query.id]
                        {
                            gate.get().on_origin_asked(id, asked, true);
                            for (auto answer : answers)
                            {
                                answer.id = id;
                                gate.get().on_origin_answer(answer);
                            }
                        });
                });
        });
}

/// A deployment whose routers are all killed after stream "id1" has begun at
/// v1. The router that starts afterwards lists v2 only.
struct all_killed
{
    /// `list_both`: the routers that were killed listed v2, too.
    void begin(bool list_both,
               std::function<void(test_gateway&)> const& connect)
    {
        test_gateway first;
        if (connect)
            connect(first);
        first.apply();
        first.set_entries({entry(0, endpoints.old_one.port(), "v1")});
        auto const caller = begin_stream(first, "id1");
        if (list_both)
            first.set_entries(endpoints.entries());
    }

    /// The store has a row of each version, since the routers that were killed
    /// sent requests to both.
    void restart()
    {
        second.apply();
        second.set_history({"v1", "v2"});
        second.set_entries({entry(1, endpoints.new_one.port(), "v2")});
    }

    void check_refused()
    {
        auto const text = take_up(second, "id1");
        CHECK(text.starts_with("HTTP/1.1 503"));
        CHECK(text.find("Retry-After: ") != std::string::npos);
        CHECK(endpoints.record.mixed() == 0);
    }

    two_versions endpoints;
    test_gateway second;
};

} // namespace

// Guards against a resumption at another version if the version that began the
// stream left while all routers were down: no agent was told of its streams.
TEST_CASE_METHOD(all_killed,
                 "a stream whose version left while all routers were down is "
                 "refused")
{
    origin_keeper agents;
    begin(false, [&](test_gateway& gate) { agents.connect(gate); });
    agents.connect(second);
    restart();
    check_refused();
}

// As above, with agents that started after the old version had left: the
// agents that knew the stream were replaced.
TEST_CASE_METHOD(all_killed,
                 "answers of agents that started later are no proof of a "
                 "single version")
{
    origin_keeper replaced;
    origin_keeper agents;
    begin(true, [&](test_gateway& gate) { replaced.connect(gate); });
    agents.connect(second);
    restart();
    check_refused();
}

// Guards against a decision by the one agent that answers in time, while those
// that know two versions are silent.
TEST_CASE_METHOD(all_killed,
                 "the answer of one of three agents is no proof of a single "
                 "version")
{
    begin(true, {});
    wire::origin_answer answer;
    answer.versions = {kernel::software_version("v2")};
    set_agents(second, 3, {answer});
    restart();
    check_refused();
}

// Guards against a list that is a moment old counting for the whole history:
// no agent is linked yet, or the deployment has none.
TEST_CASE_METHOD(all_killed,
                 "the list of a router that has just started is no proof of a "
                 "single version")
{
    begin(true, {});
    set_agents(second, 0, {});
    restart();
    check_refused();
}

TEST_CASE_METHOD(all_killed,
                 "without agents, a stream whose version left while all "
                 "routers were down is refused")
{
    begin(false, {});
    restart();
    check_refused();
}

// Guards against streams that were to be reported when their routers ended.
TEST_CASE_METHOD(all_killed,
                 "a stream whose report was lost with its router is refused")
{
    begin(true, {});
    set_agents(second, 3, {{}, {}, {}});
    restart();
    check_refused();
}

// Guards against refusing streams of a service with one version: right after
// all routers were killed its rows tell that there was no other one.
TEST_CASE_METHOD(all_killed,
                 "after all routers were killed, unknown streams of a service "
                 "with one version go on")
{
    auto const agents = GENERATE(std::size_t{0}, std::size_t{3});
    begin(false, {});
    set_agents(second, agents,
               std::vector<wire::origin_answer>(agents, wire::origin_answer()));
    second.apply();
    second.set_entries({entry(0, endpoints.old_one.port(), "v1")});
    CHECK(take_up(second, "id1").ends_with("0\r\n\r\n"));
}

// Guards against taking an empty table, or one that was not read, for the
// history of a service.
TEST_CASE_METHOD(all_killed,
                 "an unknown stream is refused until the recorded versions "
                 "reach back to its beginning")
{
    begin(false, {});
    second.apply();
    resumption::recorded_versions history;
    if (GENERATE(true, false))
        history.complete_since =
            kernel::system_clock().now() - std::chrono::seconds(10);
    second.run([&] { second.get().apply(history); });
    second.set_entries({entry(1, endpoints.new_one.port(), "v2")});
    check_refused();
}

// Guards against a router that was cut off or stood still during a release: it
// takes a stream that began at a new version through another router for one of
// the only version that it knows. Agents that it reaches know nothing.
TEST_CASE("a stream that is taken up at a router that was out of step goes on "
          "only with the versions read again")
{
    auto const now_recorded = GENERATE(std::size_t{1}, std::size_t{2});
    auto const agents = GENERATE(std::size_t{0}, std::size_t{3});
    two_versions endpoints;
    test_gateway gate;
    gate.apply();
    gate.set_entries({entry(0, endpoints.old_one.port(), "v1")});
    auto const recorded = [](std::size_t count)
    {
        resumption::recorded_versions res;
        res.complete_since = kernel::steady_time::min();
        for (std::size_t n = 1; n <= count; ++n)
            res.items.push_back(
                {kernel::service_id("s"),
                 kernel::software_version("v" + std::to_string(n)),
                 {}});
        res.known_until = kernel::system_clock().now();
        return res;
    };
    gate.run(
        [&]
        {
            gate.get().apply(recorded(1));
            gate.get().set_origin_handlers(
                [](wire::stream_origins const&) {},
                [&](wire::origin_query const& query)
                {
                    gate.post(
                        [&, id = query.id]
                        {
                            gate.get().on_origin_asked(id, agents, true, true);
                            for (std::size_t n = 0; n < agents; ++n)
                                gate.get().on_origin_answer({id, {}, {}});
                            gate.get().apply(recorded(now_recorded));
                        });
                });
        });
    auto const text = take_up(gate, "id1");
    if (now_recorded == 1)
        CHECK(text.ends_with("0\r\n\r\n"));
    else
        CHECK(text.starts_with("HTTP/1.1 503"));
}

// As above, while the store does not answer.
TEST_CASE(
    "a router that was out of step refuses streams of unknown origin while "
    "it cannot read the versions")
{
    two_versions endpoints;
    test_gateway gate;
    gate.apply();
    gate.set_entries({entry(0, endpoints.old_one.port(), "v1")});
    resumption::recorded_versions recorded;
    recorded.complete_since = kernel::steady_time::min();
    recorded.items.push_back(
        {kernel::service_id("s"), kernel::software_version("v1"), {}});
    recorded.known_until = kernel::system_clock().now();
    gate.run([&] { gate.get().apply(recorded); });
    set_agents(gate, 3, {{}, {}, {}});
    CHECK(take_up(gate, "id1").starts_with("HTTP/1.1 503"));
}

// Guards against streams at a version that a router that starts later cannot
// know of.
TEST_CASE("no request is sent to an endpoint whose version is being recorded")
{
    two_versions endpoints;
    test_gateway gate;
    gate.apply();
    auto entries = endpoints.entries();
    entries[1].withheld = true;
    gate.set_entries(entries);
    for (int n = 0; n < streams; ++n)
        begin_stream(gate, "id" + std::to_string(n));
    CHECK(endpoints.old_one.requests() == streams);
    CHECK(endpoints.new_one.requests() == 0);
    gate.set_entries({entries[1]});
    test_caller caller(gate.port());
    caller.send(get_request("/resume/", "last"));
    gate.set_entries({entry(1, endpoints.new_one.port(), "v2")});
    CHECK(caller.read_until("id: 2\n").find("id: 2\n") != std::string::npos);
}

// Load pattern: the second of two kills, while the old version is going. Guards
// against streams at the new version that nobody knows of: the router lists
// only this one but knows the other one from the store.
TEST_CASE("streams are told to agents while the store knows of several "
          "versions")
{
    two_versions endpoints;
    origin_keeper agents;
    {
        test_gateway first;
        agents.connect(first);
        first.apply();
        first.set_history({"v1", "v2"});
        first.set_entries({entry(1, endpoints.new_one.port(), "v2")});
        begin_stream(first, "id1");
    }
    test_gateway second;
    agents.connect(second);
    second.apply();
    second.set_history({"v1", "v2"});
    second.set_entries({entry(1, endpoints.new_one.port(), "v2")});
    CHECK(take_up(second, "id1").ends_with("0\r\n\r\n"));
    CHECK(endpoints.record.mixed() == 0);
}

// Guards against a stream whose origin changes with each resumption: it began
// at v1, was taken up at a second router and again at a third one.
TEST_CASE("a stream that is taken up across two kills stays at its version")
{
    two_versions endpoints;
    origin_keeper agents;
    for (auto const* last : {"id1", "", ""})
    {
        test_gateway gate;
        agents.connect(gate);
        gate.apply();
        gate.set_entries(endpoints.entries());
        if (*last != '\0')
            begin_stream(gate, last);
        else
            CHECK(take_up(gate, "id1").ends_with("0\r\n\r\n"));
    }
    CHECK(endpoints.record.mixed() == 0);
}

// As above, with a second router whose report of the resumption is lost.
TEST_CASE("a stream stays at its version if the router that resumed it ends "
          "before its report")
{
    two_versions endpoints;
    origin_keeper agents;
    {
        test_gateway gate;
        agents.connect(gate);
        gate.apply();
        gate.set_entries(endpoints.entries());
        begin_stream(gate, "id1");
    }
    {
        test_gateway gate;
        gate.run(
            [&]
            {
                gate.get().set_origin_handlers(
                    [](wire::stream_origins const&) {},
                    [&](wire::origin_query const& query)
                    { gate.post([&, query] { agents.answer(gate, query); }); });
            });
        gate.apply();
        gate.set_entries(endpoints.entries());
        CHECK(take_up(gate, "id1").ends_with("0\r\n\r\n"));
    }
    test_gateway gate;
    agents.connect(gate);
    gate.apply();
    gate.set_entries({entry(1, endpoints.new_one.port(), "v2")});
    CHECK(take_up(gate, "id1").starts_with("HTTP/1.1 503"));
    CHECK(endpoints.record.mixed() == 0);
}

} // namespace endiveward::gateway
