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

TEST_CASE("an order is sent from the scheduled start on")
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

// Guards against interrupting running requests that would finish soon.
TEST_CASE("the order is delayed while running requests finish, up to a limit")
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

// Guards against a delayed order that is executed after a newer one, and
// against executing an order twice: a repeated order contains the same number
// of accepted orders, so the engine refuses the duplicate.
TEST_CASE("an order without a response is repeated with the same order count")
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
    // The engine has accepted the order; it is not sent again.
    updater.on_report(report(2, 5));
    CHECK_FALSE(updater.next_order(start + std::chrono::seconds(5)));
}

// Guards against an engine that never loads new weights because a new version
// is always announced shortly before its scheduled start.
TEST_CASE("an engine outdated for too long loads before its scheduled start")
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

TEST_CASE("a fencing number below that of the engine is raised")
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

TEST_CASE("no order is sent for a model that the engine does not serve")
{
    weight_updater updater(options());
    updater.on_report(report(1, 0));
    updater.set_target(kernel::model_id("other"), 2, start, start);
    CHECK_FALSE(updater.next_order(start + std::chrono::seconds(9)));
    CHECK_FALSE(updater.has_outdated_model());
}

// Guards against an engine that crashes and comes back with older weights after
// a further version was named: its load waited for its turn in the newest
// rollout although the deadline of the missed version was near.
TEST_CASE("a replaced engine with older weights keeps the missed deadline")
{
    weight_updater updater(options());
    updater.on_report(report(2, 1));
    updater.set_target(model, 3, start, start);
    updater.on_report(report(3, 2));
    auto const next_named = start + std::chrono::seconds(6);
    updater.set_target(model, 4, next_named,
                       next_named + std::chrono::seconds(4));
    auto replaced = report(2, 0);
    replaced.incarnation = 2;
    updater.on_report(replaced);
    auto const order = updater.next_order(next_named);
    REQUIRE(order);
    CHECK(order->version == 4);
}

} // namespace endiveward::weights
