#include "gateway/retry_budget.hpp"

#include <catch2/catch.hpp>

#include <vector>

namespace endiveward::gateway
{

namespace
{

kernel::steady_time at(double seconds)
{
    return kernel::steady_time(
        std::chrono::duration_cast<kernel::steady_time::duration>(
            std::chrono::duration<double>(1000 + seconds)));
}

} // namespace

// Guards against retries that amplify an overload.
TEST_CASE("retries stay within the share plus the fixed number")
{
    retry_budget budget(0.2, 5);
    for (int n = 0; n < 100; ++n)
        budget.on_request(at(n * 0.01));
    int allowed = 0;
    for (int n = 0; n < 100; ++n)
        allowed += budget.try_retry(at(1 + n * 0.01)) ? 1 : 0;
    CHECK(allowed == 25);
}

// Guards against a limit that holds only in aligned windows instead of any ten
// seconds.
TEST_CASE("no window of ten seconds has more retries than allowed")
{
    retry_budget budget(0, 10);
    std::vector<double> granted;
    for (int n = 0; n < 4000; ++n)
    {
        if (budget.try_retry(at(n * 0.01)))
            granted.push_back(n * 0.01);
    }
    REQUIRE(granted.size() >= 30);
    for (std::size_t n = 10; n < granted.size(); ++n)
        CHECK(granted[n] - granted[n - 10] >= 10.0);
}

TEST_CASE("used budget is available again after the window")
{
    retry_budget budget(0, 1);
    CHECK(budget.try_retry(at(0)));
    CHECK_FALSE(budget.try_retry(at(9.9)));
    CHECK(budget.try_retry(at(11.1)));
    CHECK(budget.remaining(at(1000)) == 1);
}

} // namespace endiveward::gateway
