#include "router/config_readiness.hpp"

#include "kernel/manual_clock.hpp"

#include <catch2/catch.hpp>

namespace endiveward::router
{

namespace
{

using config::isolation_policy;
constexpr std::chrono::milliseconds step{1};

struct fixture
{
    explicit fixture(isolation_policy policy = isolation_policy::serve,
                     bool has_store = true)
        : readiness(clock, policy, has_store)
    {
    }

    std::shared_ptr<kernel::manual_clock> clock =
        std::make_shared<kernel::manual_clock>();
    config_readiness readiness;
};

} // namespace

// Guards against a router that serves with an old version because it did not
// wait for the store or for the processes that know a newer one.
TEST_CASE("startup waits for the store and three processes")
{
    fixture fix;
    fix.readiness.on_hello(4);
    fix.readiness.on_hello(7);
    fix.readiness.on_hello(5);
    CHECK_FALSE(fix.readiness.is_caught_up(7));

    fix.readiness.on_store_read(fix.clock->now());
    CHECK_FALSE(fix.readiness.is_caught_up(6));
    CHECK(fix.readiness.is_caught_up(7));
}

// Guards against a startup that hangs while the store is down or only a few
// processes are up.
TEST_CASE("startup waits 300 ms for a store and processes that do not answer")
{
    fixture fix;
    fix.readiness.on_hello(4);
    fix.clock->advance(config_readiness::startup_wait - step);
    CHECK_FALSE(fix.readiness.is_caught_up(4));
    fix.clock->advance(step);
    CHECK_FALSE(fix.readiness.is_caught_up(3));
    CHECK(fix.readiness.is_caught_up(4));
}

// Guards against a router that waits for a store although none is configured.
TEST_CASE("without a store three processes are enough")
{
    fixture fix(isolation_policy::serve, false);
    fix.readiness.on_hello(4);
    fix.readiness.on_hello(4);
    CHECK_FALSE(fix.readiness.is_caught_up(4));
    fix.readiness.on_hello(4);
    CHECK(fix.readiness.is_caught_up(4));
}

// Guards against routers that restart together and count each other's empty
// configuration as a sufficient one.
TEST_CASE("a process without a configuration does not count")
{
    fixture fix(isolation_policy::serve, false);
    for (int i = 0; i < 3; ++i)
        fix.readiness.on_hello(0);
    fix.readiness.on_hello(9);
    CHECK_FALSE(fix.readiness.is_caught_up(8));
    fix.clock->advance(config_readiness::startup_wait);
    CHECK_FALSE(fix.readiness.is_caught_up(8));
    CHECK(fix.readiness.is_caught_up(9));
}

// Guards against a router that becomes ready without any configuration, and
// against one that never does because the only process that had the highest
// version is gone.
TEST_CASE("startup ends with an older version when the highest is lost")
{
    fixture fix;
    fix.readiness.on_hello(9);
    fix.clock->advance(config_readiness::catch_up_limit - step);
    CHECK_FALSE(fix.readiness.is_caught_up(8));
    fix.clock->advance(step);
    CHECK_FALSE(fix.readiness.is_caught_up(0));
    CHECK(fix.readiness.is_caught_up(8));
}

// Guards against routers that stop being ready at each configuration change.
TEST_CASE("a router that has started stays caught up")
{
    fixture fix(isolation_policy::serve, false);
    for (int i = 0; i < 3; ++i)
        fix.readiness.on_hello(4);
    REQUIRE(fix.readiness.is_caught_up(4));
    fix.readiness.on_hello(5);
    CHECK(fix.readiness.is_caught_up(4));
}

// Guards against a router that serves with an unconfirmed configuration
// although `config.when_isolated` is "refuse".
TEST_CASE("requests are refused 8 s after the last confirmation")
{
    fixture fix(isolation_policy::refuse);
    fix.clock->advance(config_readiness::confirmation_limit);
    CHECK_FALSE(fix.readiness.refusal());
    fix.clock->advance(step);
    auto const refusal = fix.readiness.refusal();
    REQUIRE(refusal);
    CHECK(refusal->kind == kernel::error_kind::stale_configuration);
    CHECK(refusal->run == kernel::run_state::not_run);
    CHECK(refusal->retry_after);
}

// Guards against a configuration that is confirmed by a process without one or
// with a newer one.
TEST_CASE("a store read, a known version or an update confirms")
{
    fixture fix(isolation_policy::refuse);
    auto const isolate = [&]
    {
        fix.clock->advance(config_readiness::confirmation_limit + step);
        REQUIRE(fix.readiness.refusal());
    };
    isolate();
    fix.readiness.on_reported(0, 5);
    fix.readiness.on_reported(6, 5);
    CHECK(fix.readiness.refusal());
    fix.readiness.on_reported(5, 5);
    CHECK_FALSE(fix.readiness.refusal());

    isolate();
    fix.readiness.on_store_read(fix.clock->now());
    CHECK_FALSE(fix.readiness.refusal());

    isolate();
    fix.readiness.on_applied();
    CHECK_FALSE(fix.readiness.refusal());
}

// Guards against refused requests in an isolated region that is configured to
// serve.
TEST_CASE("by default requests are served without confirmation")
{
    fixture fix;
    fix.clock->advance(std::chrono::hours(1));
    CHECK_FALSE(fix.readiness.refusal());
}

} // namespace endiveward::router
