#include "e2e/callers.hpp"
#include "e2e/chats.hpp"

#include "support/deployment.hpp"
#include "support/wait.hpp"

#include <catch2/catch.hpp>

namespace endiveward::e2e
{

namespace
{

using test_support::deployment;
using test_support::wait_until;

} // namespace

// Guards G2 against events that are lost, repeated or reordered when the
// connection between engine and agent breaks in the middle of streams.
TEST_CASE("G2: streams are complete after the engine's connections broke")
{
    auto what = quick_deployment(1, {engine("worker-0")});
    deployment running(what);
    running.commit(first_operations(what));
    REQUIRE(wait_until_connected(running, 1));
    deployment::operate(running.endpoint_url(0), "break_connection",
                        {{"after_events", 7}, {"times", 12}});
    chats open(all_routers(running), form::mixed, 15, 20);
    open.check_answers();
    auto const stats = deployment::stats(running.endpoint_url(0));
    CHECK(stats["broken_connections"] == 12);
    CHECK(stats["resumed"] > 0);
}

// Guards G2 and G4 against events that are lost, repeated or given to another
// caller when the connection between router and agent breaks.
TEST_CASE("G2 G4: streams are complete after the router's connections broke")
{
    auto what = quick_deployment(2, {engine("worker-0")});
    what.endpoints[0].options.push_back("--token-interval-ms=20");
    what.endpoints[0].relayed = true;
    deployment running(what);
    running.commit(first_operations(what));
    REQUIRE(wait_until_connected(running, 1));
    chats open(all_routers(running), form::streamed, 12, 60);
    for (std::size_t pieces : {1, 10, 20})
    {
        REQUIRE(open.wait_for_pieces(pieces));
        CHECK(running.relay(0).cut() > 0);
    }
    open.check_answers();
    CHECK(deployment::stats(running.endpoint_url(0))["executions"] == 12);
}

// Guards G4 against whole answers that are lost or truncated when the
// connection between router and agent breaks.
TEST_CASE("G4: whole answers are complete after the router's connections broke")
{
    auto what = quick_deployment(1, {engine("worker-0"), engine("worker-1")});
    for (auto& it : what.endpoints)
    {
        it.options.push_back("--token-interval-ms=20");
        it.relayed = true;
    }
    deployment running(what);
    running.commit(first_operations(what));
    REQUIRE(wait_until_connected(running, 2));
    chats open(all_routers(running), form::whole, 8, 60);
    auto const executions = [&](std::size_t n)
    {
        return deployment::stats(running.endpoint_url(n))["executions"]
            .get<std::size_t>();
    };
    REQUIRE(wait_until([&] { return executions(0) + executions(1) == 8; }));
    running.relay(executions(0) > 0 ? 0 : 1).cut();
    open.check_answers();
}

// Guards G2 against a truncated answer that is presented as complete after the
// engine crashed in the middle of it.
TEST_CASE("G2: an answer that a crash cut ends with an error")
{
    auto what = quick_deployment(1, {engine("worker-0")});
    what.endpoints[0].options.push_back("--token-interval-ms=50");
    deployment running(what);
    running.commit(first_operations(what));
    REQUIRE(wait_until_connected(running, 1));
    // Long enough not to end before the crash.
    chats open(all_routers(running), form::mixed, 6, 2000);
    REQUIRE(open.wait_for_pieces(2));
    deployment::operate(running.endpoint_url(0), "crash");
    for (auto const& it : open.answers())
    {
        INFO(describe(it));
        auto const read = read_chat(it);
        CHECK(it.complete);
        CHECK_FALSE(read.done);
        REQUIRE(read.error.is_object());
        if (it.status == 200)
        {
            CHECK(read.error["code"] == "stream_interrupted");
            CHECK(read.error["run"] == "unknown");
        }
        else
            CHECK(it.status >= 500);
    }
    running.endpoint(0).start();
    auto const after = chat("after", true);
    CHECK(wait_until(
        [&] {
            return is_right(send(chat_call(running.router_url(0), after)),
                            after);
        }));
}

} // namespace endiveward::e2e
