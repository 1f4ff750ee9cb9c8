#include "gateway/endpoint_record.hpp"
#include "gateway/report_share.hpp"
#include "gateway/types/endpoint_requirements.hpp"

#include <catch2/catch.hpp>

namespace endiveward::gateway
{

namespace
{

constexpr request_footprint request{2000, 3000};
constexpr std::size_t routers = 26;

kernel::steady_time at(int report)
{
    return kernel::steady_time(std::chrono::seconds(100) +
                               std::chrono::milliseconds(200 * report));
}

endpoint_record make_endpoint()
{
    endpoint_entry entry;
    entry.id = kernel::endpoint_id("e");
    return endpoint_record(entry);
}

/// Sends from each router as many requests as its share allows after each of
/// 100 reports. Returns their mean number for a report.
double mean_sent(free_capacity const& free)
{
    constexpr int reports = 100;
    int res = 0;
    for (std::uint64_t router = 0; router < routers; ++router)
    {
        endpoint_requirements requirements;
        requirements.contenders = routers;
        requirements.process_seed = 1000 + router;
        auto endpoint = make_endpoint();
        for (int n = 0; n < reports; ++n)
        {
            endpoint.on_state({}, at(n));
            auto left = free;
            while (has_report_share(endpoint, request, left, requirements))
            {
                endpoint.on_sent(request, at(n));
                left.work_tokens -= request.uncached_tokens;
                left.memory_tokens -= request.memory_tokens;
                ++res;
            }
        }
    }
    return static_cast<double>(res) / reports;
}

} // namespace

// Load pattern: requests wait at 26 routers, and a report shows free capacity.
// Guards against all routers sending a request for it.
TEST_CASE("routers share what a report shows as free")
{
    CHECK(mean_sent({1e9, 9000}) == Approx(3).margin(0.6));
    CHECK(mean_sent({6000, 1e9}) == Approx(3).margin(0.6));
    CHECK(mean_sent({1e9, 90000}) == Approx(30).margin(2));
    CHECK(mean_sent({1e9, -1000}) == 0);
}

TEST_CASE("capacity that is not scarce is not shared out")
{
    endpoint_requirements requirements;
    auto endpoint = make_endpoint();
    endpoint.on_state({}, at(0));
    CHECK(has_report_share(endpoint, request, {0, 0}, requirements));
    // Nothing is known of an endpoint without reports.
    requirements.contenders = routers;
    auto const unknown = make_endpoint();
    CHECK(has_report_share(unknown, request, {0, 0}, requirements));
}

} // namespace endiveward::gateway
