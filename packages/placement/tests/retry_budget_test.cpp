#include "placement/retry_budget.hpp"

#include <catch2/catch.hpp>

namespace endiveward::placement
{

// Guards against retries that multiply the load of an overloaded system.
TEST_CASE("retries are limited to a ratio of the requests")
{
    retry_budget budget(0.25, 2.0);
    CHECK(budget.try_retry());
    CHECK(budget.try_retry());
    CHECK_FALSE(budget.try_retry());
    int retries = 0;
    for (int i = 0; i < 1000; ++i)
    {
        budget.on_request();
        retries += budget.try_retry() ? 1 : 0;
    }
    CHECK(retries == 250);
}

// Guards against a long period without retries that allows a burst of retries
// beyond the limit afterwards.
TEST_CASE("the budget accumulates at most its burst")
{
    retry_budget budget(1.0, 2.0);
    for (int i = 0; i < 100; ++i)
        budget.on_request();
    CHECK(budget.tokens() == Approx(2.0));
}

} // namespace endiveward::placement
