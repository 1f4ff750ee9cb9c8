#include "gateway/unavailability_policy.hpp"

#include "gateway/endpoint_outages.hpp"
#include "gateway/endpoint_record.hpp"
#include "gateway/types/endpoint_outage.hpp"
#include "gateway/types/endpoint_requirements.hpp"
#include "gateway/types/unserved_request.hpp"
#include "gateway/weights_view.hpp"
#include "kernel/manual_clock.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

namespace endiveward::gateway
{

namespace
{

using kernel::steady_time;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds target{600};
constexpr milliseconds max_wait{180};
constexpr milliseconds budget{6000};

class fixture
{
public:
    fixture()
        : policy(clock)
    {
        clock.advance(seconds(100));
    }

    /// A request that arrives now and gives up after `time_left`.
    unserved_request arrive(std::uint64_t seed = 0,
                            milliseconds time_left = budget) const
    {
        unserved_request res;
        res.seed = seed;
        res.target_latency = target;
        res.max_wait = max_wait;
        res.waiting_since = clock.now();
        res.expires = clock.now() + time_left;
        res.caller_expires = res.expires;
        return res;
    }

    endpoint_outage paused(milliseconds time) const
    {
        return {clock.now() + time};
    }

    /// Lets the request wait until it is rejected.
    reject_request reject(std::vector<endpoint_outage> const& endpoints,
                          unserved_request const& request)
    {
        for (;;)
        {
            auto const decision = policy.decide(endpoints, request);
            if (auto const* const res = std::get_if<reject_request>(&decision))
                return *res;
            auto const until = std::get<wait_for_endpoint>(decision).until;
            REQUIRE(until > clock.now());
            REQUIRE(until < request.expires);
            clock.advance(
                std::chrono::duration_cast<milliseconds>(until - clock.now()));
        }
    }

    /// Returns the rejection of a request that is not kept waiting at all.
    reject_request reject_at_once(std::vector<endpoint_outage> const& endpoints,
                                  unserved_request const& request)
    {
        auto const begin = clock.now();
        auto const res = reject(endpoints, request);
        CHECK(clock.now() == begin);
        return res;
    }

    kernel::manual_clock clock;
    unavailability_policy policy;
};

endpoint_outage leaving()
{
    return {steady_time::max()};
}

endpoint_outage loading()
{
    endpoint_outage res;
    res.loading = true;
    return res;
}

endpoint_outage tried()
{
    endpoint_outage res;
    res.tried = true;
    return res;
}

/// Returns the largest number of these times within one window.
std::size_t most_within(std::vector<milliseconds> times, milliseconds window)
{
    std::sort(times.begin(), times.end());
    std::size_t res = 0;
    std::size_t first = 0;
    for (std::size_t n = 0; n < times.size(); ++n)
    {
        while (times[n] - times[first] >= window)
            ++first;
        res = std::max(res, n - first + 1);
    }
    return res;
}

} // namespace

// Guards against a request that is kept waiting although no endpoint is listed.
TEST_CASE("a request is rejected at once while no endpoint is listed")
{
    fixture it;
    auto const res = it.reject_at_once({}, it.arrive());
    CHECK(res.reason == "no_endpoint");
    // A replacement takes some seconds, and callers retry only a few times.
    CHECK(res.retry_after >= seconds(1));
}

// Load pattern: the last endpoint of a service leaves, and its replacement is
// listed some seconds later. Guards against callers that have used up their few
// retries before it is.
TEST_CASE("callers come back when a replaced endpoint has been listed")
{
    constexpr milliseconds replacement_after{3000};
    constexpr int retries = 3;
    int served = 0;
    constexpr int callers = 200;
    std::mt19937_64 random(1);
    for (int n = 0; n < callers; ++n)
    {
        fixture it;
        auto const begin = it.clock.now();
        auto const expires = begin + seconds(12);
        for (int k = 0; k <= retries; ++k)
        {
            if (it.clock.now() >= begin + replacement_after)
            {
                ++served;
                break;
            }
            auto const left = std::chrono::duration_cast<milliseconds>(
                expires - it.clock.now());
            auto const res =
                it.reject_at_once({leaving()}, it.arrive(random(), left));
            CHECK(res.reason == "endpoints_leaving");
            REQUIRE(res.retry_after <= left / 3);
            it.clock.advance(res.retry_after);
        }
    }
    CHECK(served == callers);
}

// Load pattern: all endpoints have asked for a pause of two seconds, and
// requests keep arriving. Guards against callers that are kept waiting, that
// return before the end of the pause, and that return together at its end.
TEST_CASE("callers return spread after the end of a pause")
{
    fixture it;
    std::mt19937_64 random(1);
    std::vector<milliseconds> returns;
    auto const begin = it.clock.now();
    std::vector<endpoint_outage> const endpoints{
        it.paused(seconds(2)), it.paused(seconds(3)), leaving()};
    constexpr milliseconds interval{10};
    while (it.clock.now() + max_wait < begin + seconds(2))
    {
        auto const res = it.reject_at_once(endpoints, it.arrive(random()));
        CHECK(res.reason == "endpoints_paused");
        auto const at = std::chrono::duration_cast<milliseconds>(
            it.clock.now() + res.retry_after - begin);
        // The caller accepts up to a third of the six seconds that it has.
        if (it.clock.now() - begin > milliseconds(400))
            CHECK(at >= seconds(2));
        returns.push_back(at);
        it.clock.advance(interval);
    }
    REQUIRE(returns.size() == 182);
    // Without a spread all of them return within 100 ms of the end.
    CHECK(most_within(returns, milliseconds(100)) <= 60);
    CHECK(*std::max_element(returns.begin(), returns.end()) <=
          seconds(2) + target);
}

TEST_CASE("a request waits for a pause that ends soon")
{
    fixture it;
    auto const request = it.arrive();
    std::vector<endpoint_outage> const endpoints{it.paused(milliseconds(150)),
                                                 it.paused(seconds(5))};
    auto const end = it.clock.now() + milliseconds(150);
    // The list may change, so it is checked in steps before that time.
    while (it.clock.now() < end)
    {
        auto const decision = it.policy.decide(endpoints, request);
        auto const* const wait = std::get_if<wait_for_endpoint>(&decision);
        REQUIRE(wait != nullptr);
        REQUIRE(wait->until <= end);
        it.clock.advance(std::chrono::duration_cast<milliseconds>(
            wait->until - it.clock.now()));
    }
}

// Guards against a request that waits for a pause although its own time ends
// before.
TEST_CASE("a request does not wait for a pause that outlasts it")
{
    fixture it;
    auto const request = it.arrive(0, milliseconds(100));
    auto const res = it.reject_at_once({it.paused(milliseconds(120))}, request);
    CHECK(res.retry_after <= milliseconds(33));
}

// Load pattern: more requests arrive than endpoints with a limit take. Those
// that waited for the next one would be too many for it.
TEST_CASE(
    "a request is rejected at once while all endpoints are at their limit")
{
    fixture f;
    auto limited = f.paused(milliseconds(50));
    limited.limited = true;
    auto later = f.paused(milliseconds(400));
    later.limited = true;
    for (std::uint64_t seed = 0; seed < 50; ++seed)
    {
        auto const res =
            f.reject_at_once({later, limited}, f.arrive(seed << 56U));
        CHECK(res.reason == "endpoints_limited");
        CHECK(res.retry_after >= milliseconds(37));
        CHECK(res.retry_after <= milliseconds(150));
    }
    // One that takes requests again soon is waited for.
    auto const decision = f.policy.decide(
        std::vector{limited, f.paused(milliseconds(60))}, f.arrive());
    CHECK(std::holds_alternative<wait_for_endpoint>(decision));
}

// Load pattern: all engines crashed a moment ago, and their agents report them
// unreachable. They usually restart soon.
TEST_CASE("a request waits a short time for endpoints that may return soon")
{
    fixture it;
    auto const begin = it.clock.now();
    auto const res = it.reject({endpoint_outage(), leaving()}, it.arrive());
    CHECK(it.clock.now() - begin >= target / 10);
    CHECK(it.clock.now() - begin <= target / 8);
    CHECK(res.reason == "no_endpoint");
    CHECK(res.retry_after >= milliseconds(250));
    CHECK(res.retry_after <= milliseconds(450));
}

// Load pattern: the weights of all engines are expired until a load ends, which
// takes up to 1.4 s. Guards against callers that return before.
TEST_CASE("callers return when a load of weights has probably ended")
{
    fixture it;
    auto const begin = it.clock.now();
    auto const res = it.reject({loading(), loading()}, it.arrive());
    CHECK(it.clock.now() - begin <= target / 8);
    CHECK(res.reason == "endpoints_loading");
    CHECK(res.retry_after >= milliseconds(500));
    CHECK(res.retry_after <= milliseconds(900));
}

// Guards against a request that waits although every endpoint has already
// failed or refused it.
TEST_CASE("a request that all endpoints have been tried for is rejected")
{
    fixture it;
    auto const res = it.reject_at_once({tried(), leaving()}, it.arrive());
    CHECK(res.reason == "endpoints_tried");
    CHECK(res.retry_after >= milliseconds(250));
    CHECK(res.retry_after <= milliseconds(400));
}

// Guards against a delay that the caller does not accept, after which it does
// not come back.
TEST_CASE("no delay exceeds a third of the caller's time")
{
    std::mt19937_64 random(1);
    for (auto const left : {milliseconds(30), milliseconds(500),
                            milliseconds(2000), milliseconds(20000)})
    {
        for (int n = 0; n < 50; ++n)
        {
            fixture it;
            auto const request = it.arrive(random(), left);
            for (auto const& endpoints : {std::vector<endpoint_outage>{},
                                          {leaving()},
                                          {tried()},
                                          {it.paused(seconds(9))},
                                          {loading()},
                                          {endpoint_outage()}})
            {
                auto const res = it.reject(endpoints, request);
                auto const rest = std::chrono::duration_cast<milliseconds>(
                    request.expires - it.clock.now());
                CHECK(res.retry_after <= rest / 3);
                CHECK(res.retry_after >=
                      std::min(rest / 10 - milliseconds(1), milliseconds(250)));
            }
        }
    }
}

// The route may allow less time than the caller has.
TEST_CASE("the delay depends on the caller's time, not on that of the route")
{
    fixture it;
    auto request = it.arrive(0, milliseconds(300));
    request.caller_expires = it.clock.now() + seconds(12);
    CHECK(it.reject_at_once({it.paused(seconds(3))}, request).retry_after >=
          seconds(3));
}

// Guards against rejected callers that return in the same instant.
TEST_CASE("callers that are rejected together return spread")
{
    fixture it;
    std::mt19937_64 random(1);
    for (auto const& endpoints : {std::vector<endpoint_outage>{},
                                  {leaving()},
                                  {tried()},
                                  {it.paused(seconds(1))},
                                  {it.paused(seconds(9))}})
    {
        constexpr int callers = 200;
        std::vector<milliseconds> returns;
        returns.reserve(callers);
        for (int n = 0; n < callers; ++n)
            returns.push_back(
                it.reject_at_once(endpoints, it.arrive(random())).retry_after);
        CHECK(most_within(returns, milliseconds(20)) <= 60);
    }
}

namespace
{

std::vector<std::shared_ptr<endpoint_record>> make_records(std::size_t n)
{
    std::vector<std::shared_ptr<endpoint_record>> res;
    for (std::size_t k = 0; k < n; ++k)
    {
        endpoint_entry entry;
        entry.id = kernel::endpoint_id("e" + std::to_string(k));
        entry.service = kernel::service_id("s");
        entry.slots = 8;
        entry.models[kernel::model_id("m")] = 1;
        res.push_back(std::make_shared<endpoint_record>(entry));
    }
    return res;
}

} // namespace

// Guards against an outage that is reported as another kind, so that a request
// waits in vain or is rejected too early.
TEST_CASE("each reason for which an endpoint is not chosen is recognized")
{
    steady_time const now{seconds(100)};
    auto const records = make_records(6);
    wire::engine_state state;
    state.weights = {{kernel::model_id("m"), 1}};
    for (auto const& it : records)
        it->on_state(state, now);
    weights_view weights({}, seconds(10));
    endpoint_requirements requirements;
    requirements.prompt.emplace();
    requirements.prompt->model = kernel::model_id("m");

    records[0]->on_refusal(now, milliseconds(150));
    auto entry = records[1]->entry();
    entry.draining = true;
    records[1]->update(entry);
    state.reloading = true;
    records[2]->on_state(state, now);
    state.reloading = false;
    state.unreachable = true;
    records[3]->on_state(state, now);
    requirements.excluded.push_back(records[4]->entry().id);

    auto const outages = find_outages(records, requirements, weights, now);
    REQUIRE(outages.size() == 6);
    CHECK(outages[0].until == now + milliseconds(150));
    CHECK(outages[1].until == steady_time::max());
    CHECK(outages[2].loading);
    CHECK_FALSE(outages[3].until);
    CHECK_FALSE(outages[3].loading);
    CHECK(outages[4].tried);
    CHECK_FALSE(outages[5].loading);

    weights.set_target({kernel::model_id("m"), 2}, {}, now, now);
    auto const later =
        find_outages(records, requirements, weights, now + seconds(9));
    CHECK(later[5].loading);
}

} // namespace endiveward::gateway
