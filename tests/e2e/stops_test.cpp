#include "e2e/callers.hpp"
#include "e2e/chats.hpp"

#include "support/deployment.hpp"
#include "support/wait.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <map>
#include <thread>

namespace endiveward::e2e
{

namespace
{

using nlohmann::json;
using test_support::deployment;
using test_support::long_limit;
using test_support::wait_until;

test_support::endpoint_description slow_engine(std::string id, std::string zone)
{
    auto what = engine(std::move(id), std::move(zone));
    what.options.push_back("--token-interval-ms=20");
    return what;
}

std::size_t executions(deployment const& running, std::size_t endpoint)
{
    return deployment::stats(running.endpoint_url(endpoint))["executions"];
}

/// Sends small chats through all routers until it ends. Answers that are
/// complete must be right; a router that is down gives none.
class light_traffic
{
public:
    explicit light_traffic(deployment const& running)
    {
        for (auto const& url : all_routers(running))
            threads_.emplace_back([this, url] { run(url); });
    }
    ~light_traffic() { stop(); }
    light_traffic(light_traffic const&) = delete;
    light_traffic& operator=(light_traffic const&) = delete;

    void stop()
    {
        stopping_ = true;
        for (auto& it : threads_)
            if (it.joinable())
                it.join();
    }

    std::size_t right() const { return right_; }
    std::size_t wrong() const { return wrong_; }

private:
    void run(std::string const& url)
    {
        for (std::size_t n = 0; !stopping_; ++n)
        {
            auto const body = chat(fmt::format("light-{}", n), n % 2 == 0, 3);
            auto const answer = send(chat_call(url, body));
            if (is_right(answer, body))
                ++right_;
            else if (answer.complete && answer.status == 200)
                ++wrong_;
        }
    }

    std::atomic<bool> stopping_ = false;
    std::atomic<std::size_t> right_ = 0;
    std::atomic<std::size_t> wrong_ = 0;
    std::vector<std::thread> threads_;
};

} // namespace

// Guards G8 against requests that a planned stop of a router cuts.
TEST_CASE("G8: a router that stops cuts no request")
{
    auto const what = quick_deployment(2, {slow_engine("worker-0", "hall-a"),
                                           slow_engine("worker-1", "hall-b")});
    deployment running(what);
    running.commit(first_operations(what));
    REQUIRE(wait_until_connected(running, 2));
    chats open({running.router_url(0)}, form::mixed, 24, 200);
    REQUIRE(open.wait_for_pieces(1));
    running.router(0).terminate();
    CHECK(wait_until(
        [&]
        {
            return !running.router(0).running() ||
                   test_support::get(running.router_operators_url(0) +
                                     "/readyz")
                           .status == 503;
        }));
    chats others({running.router_url(1)}, form::mixed, 6, 10);
    open.check_answers();
    others.check_answers();
    REQUIRE(running.router(0).wait(long_limit).has_value());
    INFO(running.router(0).log());
    CHECK(running.router(0).succeeded());
}

// Guards G7 and G8 against requests that a planned stop of an agent cuts, and
// against new work for it while the platform still lists its VM.
TEST_CASE("G7 G8: an agent that stops cuts no request and gets no new work")
{
    auto const what = quick_deployment(2, {slow_engine("worker-0", "hall-a"),
                                           slow_engine("worker-1", "hall-b")});
    deployment running(what);
    running.commit(first_operations(what));
    running.commit(json::array({rule_operation("zone=hall-a")}));
    REQUIRE(wait_until_connected(running, 2));
    chats open(all_routers(running), form::mixed, 12, 200);
    REQUIRE(open.wait_for_pieces(1));
    REQUIRE(wait_until([&] { return executions(running, 0) == 12; }));
    running.commit(json::array({rule_operation("")}));
    running.agent(0).terminate();
    REQUIRE(wait_until(
        [&]
        {
            return test_support::get(running.agent_operators_url(0) + "/readyz")
                       .status != 200;
        }));
    chats fresh(all_routers(running), form::mixed, 30, 4);
    fresh.check_answers();
    open.check_answers();
    CHECK(executions(running, 0) == 12);
    CHECK(executions(running, 1) == 30);
    REQUIRE(running.agent(0).wait(long_limit).has_value());
    INFO(running.agent(0).log());
    CHECK(running.agent(0).succeeded());
}

// Guards G3 against a cold start of restarted routers: requests that wait for
// learned state, or prefixes that are computed again on other endpoints.
TEST_CASE("G3: routers that all restart reuse prefixes as before")
{
    constexpr std::size_t routers = 3;
    constexpr std::size_t prefixes = 12;
    // Design 1.2: hit rate of the first second after a herd restart.
    constexpr double hit_rate_goal = 0.95;
    auto const what = quick_deployment(routers, {engine("worker-0", "hall-a"),
                                                 engine("worker-1", "hall-b"),
                                                 engine("worker-2", "hall-c")});
    deployment running(what);
    running.commit(first_operations(what));
    REQUIRE(wait_until_connected(running, 3));
    auto const ask = [&](std::size_t router, std::size_t prefix)
    {
        auto const body = chat("same", false, 2,
                               long_text(6, fmt::format("firm {}", prefix)));
        auto const answer = send(chat_call(running.router_url(router), body));
        INFO(describe(answer));
        CHECK(is_right(answer, body));
        return cached_bytes_of(answer);
    };
    // Cached bytes of one request for each router and prefix.
    auto const ask_all = [&]
    {
        std::uint64_t sum = 0;
        for (std::size_t n = 0; n < prefixes; ++n)
            for (std::size_t router = 0; router < routers; ++router)
                sum += ask(router, n);
        return sum;
    };
    light_traffic traffic(running);
    ask_all();
    auto const before = ask_all();
    REQUIRE(before > 0);
    for (std::size_t n = 0; n < routers; ++n)
        running.router(n).kill();
    for (std::size_t n = 0; n < routers; ++n)
        running.router(n).start();
    for (std::size_t n = 0; n < routers; ++n)
        REQUIRE(test_support::wait_until_serving(
            running.router_operators_url(n) + "/readyz"));
    REQUIRE(wait_until_connected(running, 3));
    CHECK(static_cast<double>(ask_all()) >=
          hit_rate_goal * static_cast<double>(before));
    auto const seen = traffic.right();
    CHECK(wait_until([&] { return traffic.right() > seen; }));
    traffic.stop();
    CHECK(traffic.wrong() == 0);
}

} // namespace endiveward::e2e
