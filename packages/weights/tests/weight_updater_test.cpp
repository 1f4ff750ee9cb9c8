#include "weights/weight_updater.hpp"

#include <catch2/catch.hpp>

namespace endiveward::weights
{

namespace
{

using std::chrono::milliseconds;

kernel::model_id const model("m");
kernel::steady_time const start{std::chrono::seconds(100)};

weight_updater_options options()
{
    weight_updater_options res;
    res.holder = "vm1";
    return res;
}

engine_report report(weight_version version, std::uint64_t accepted,
                     std::uint32_t running = 0)
{
    engine_report res;
    res.incarnation = 1;
    res.models = {{model, version}};
    res.orders_accepted = accepted;
    res.running = running;
    return res;
}

} // namespace

TEST_CASE("an engine is ordered when its turn has come")
{
    weight_updater updater(options());
    updater.on_report(report(1, 0));
    updater.set_target(model, 2, start, start + milliseconds(800));
    CHECK_FALSE(updater.next_order(start + milliseconds(700)));
    CHECK_FALSE(updater.reloading(start + milliseconds(700)));
    CHECK(updater.reloading(start + milliseconds(800)));
    auto const order = updater.next_order(start + milliseconds(800));
    REQUIRE(order);
    CHECK(order->version == 2);
    CHECK(order->holder == "vm1");
    CHECK(order->orders_accepted == 0);
    updater.on_report(report(2, 1));
    CHECK_FALSE(updater.reloading(start + milliseconds(900)));
    CHECK_FALSE(updater.has_outdated_model());
}

// Guards against requests that are cut short though they would soon end.
TEST_CASE("running requests have a while to end before the order")
{
    weight_updater updater(options());
    updater.on_report(report(1, 0, 3));
    updater.set_target(model, 2, start, start);
    CHECK(updater.reloading(start));
    CHECK_FALSE(updater.next_order(start + milliseconds(100)));
    auto const order = updater.next_order(start + options().drain_timeout);
    REQUIRE(order);
    CHECK(order->running_requests == running_request_policy::keep);
}

// Guards against an order that is carried out late, after a newer one: it
// names the number of orders before it, and is not counted twice.
TEST_CASE("an order without an answer is repeated with the same number")
{
    weight_updater updater(options());
    updater.on_report(report(1, 4));
    updater.set_target(model, 2, start, start);
    auto const first = updater.next_order(start);
    REQUIRE(first);
    updater.on_outcome(*first, order_outcome::no_answer);
    updater.on_report(report(1, 4));
    CHECK_FALSE(updater.next_order(start + milliseconds(100)));
    auto const again = updater.next_order(start + options().resend_after);
    REQUIRE(again);
    CHECK(again->orders_accepted == first->orders_accepted);
    // The late order was accepted after all.
    updater.on_report(report(2, 5));
    CHECK_FALSE(updater.next_order(start + std::chrono::seconds(5)));
}

// Guards against an engine that never takes new weights because a version is
// named each time shortly before its turn.
TEST_CASE("an engine that lacks an old version does not wait for its turn")
{
    weight_updater updater(options());
    updater.on_report(report(1, 0));
    for (weight_version n = 0; n < 4; ++n)
    {
        auto const announced_at = start + std::chrono::seconds(2 * n);
        updater.set_target(model, 2 + n, announced_at,
                           announced_at + std::chrono::seconds(4));
    }
    auto const due_at = start + options().max_start_delay;
    CHECK_FALSE(updater.next_order(due_at - milliseconds(1)));
    auto const order = updater.next_order(due_at);
    REQUIRE(order);
    CHECK(order->version == 5);
}

TEST_CASE("a fencing number that was overtaken is raised")
{
    weight_updater updater(options());
    updater.on_report(report(1, 0));
    updater.set_target(model, 2, start, start);
    auto const order = updater.next_order(start);
    REQUIRE(order);
    updater.on_outcome(*order, order_outcome::fenced);
    auto const next = updater.next_order(start + milliseconds(1));
    REQUIRE(next);
    CHECK(next->fencing_number > order->fencing_number);
}

TEST_CASE("a model that the engine does not have is not ordered")
{
    weight_updater updater(options());
    updater.on_report(report(1, 0));
    updater.set_target(kernel::model_id("other"), 2, start, start);
    CHECK_FALSE(updater.next_order(start + std::chrono::seconds(9)));
    CHECK_FALSE(updater.has_outdated_model());
}

} // namespace endiveward::weights
