#include "router/drain_sequence.hpp"

#include "kernel/manual_clock.hpp"

#include <catch2/catch.hpp>

namespace endiveward::router
{

using step = drain_sequence::step;

// Guards against calls that a graceful shutdown aborts, and against listeners
// that close before the load balancer has noticed (G8).
TEST_CASE("a planned stop waits for the notice and for the last call")
{
    kernel::manual_clock clock;
    drain_sequence drain(std::chrono::seconds(3));
    CHECK(drain.on_tick(clock.now(), 0) == step::none);
    CHECK(drain.on_signal(clock.now()) == step::announce);
    CHECK(drain.draining());
    clock.advance(std::chrono::milliseconds(2999));
    CHECK(drain.on_tick(clock.now(), 0) == step::none);
    clock.advance(std::chrono::milliseconds(1));
    CHECK(drain.on_tick(clock.now(), 1) == step::close_listeners);
    clock.advance(std::chrono::minutes(5));
    CHECK(drain.on_tick(clock.now(), 1) == step::none);
    CHECK(drain.on_tick(clock.now(), 0) == step::exit);
}

// Guards against a process that cannot be stopped while a call hangs.
TEST_CASE("a second signal ends the process at once")
{
    kernel::manual_clock clock;
    drain_sequence drain(std::chrono::seconds(3));
    drain.on_signal(clock.now());
    CHECK(drain.on_signal(clock.now()) == step::exit_at_once);
}

} // namespace endiveward::router
