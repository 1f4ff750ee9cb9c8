#include "gateway/attempt_timeouts.hpp"
#include "gateway/types/route.hpp"

#include <catch2/catch.hpp>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

route make_route(route_kind kind)
{
    route res;
    res.kind = kind;
    res.target_latency = milliseconds(600);
    res.target_gap = milliseconds(800);
    return res;
}

} // namespace

// Load pattern: an endpoint fails with all its requests. The retryable ones
// must be answered elsewhere within their target latency.
TEST_CASE("a failed endpoint is given up within the target latency")
{
    for (auto const kind : {route_kind::idempotent, route_kind::stream,
                            route_kind::resumable_stream})
    {
        auto const target = make_route(kind);
        CHECK(first_byte_timeout(target, milliseconds(0), true) <
              target.target_latency);
    }
    auto const target = make_route(route_kind::resumable_stream);
    CHECK(event_gap_timeout(target, true) < target.target_gap);
}

// Load pattern: engines are busy. Retries would add load and discard the
// prompts that are already processed.
TEST_CASE("a slow stream at a busy endpoint is not retried")
{
    auto const target = make_route(route_kind::resumable_stream);
    CHECK(first_byte_timeout(target, milliseconds(0), false) >
          2 * target.target_latency);
    CHECK(event_gap_timeout(target, false) > 2 * target.target_gap);
}

TEST_CASE("the timeout covers a long expected time to the first byte")
{
    auto const target = make_route(route_kind::stream);
    CHECK(first_byte_timeout(target, milliseconds(1000), true) >
          milliseconds(1000));
}

TEST_CASE("a route without a target latency has positive timeouts")
{
    route const target;
    CHECK(first_byte_timeout(target, milliseconds(0), true) > milliseconds(0));
    CHECK(event_gap_timeout(target, true) > milliseconds(0));
}

} // namespace endiveward::gateway
