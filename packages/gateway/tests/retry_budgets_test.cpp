#include "gateway/retry_budgets.hpp"

#include "gateway/gateway_metrics.hpp"
#include "kernel/manual_clock.hpp"
#include "observe/decision_log.hpp"

#include <catch2/catch.hpp>
#include <prometheus/registry.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <vector>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

/// The routers of a deployment that share a fixed number of retries and send
/// one request each 100 ms, of which so many retries as allowed are made.
class routers
{
public:
    static constexpr double ratio = 0.2;
    static constexpr double fixed = 130;
    /// What routers use of both, since their windows are slightly offset.
    static constexpr double fraction = 0.8;
    static constexpr std::size_t count = 13;

    routers()
    {
        for (auto& it : routers_)
            start(it);
    }

    /// How many routers the first reports of agents tell, which routers believe
    /// until they get the next ones.
    void set_reported(std::size_t n) { reported_ = n; }

    void restart_all()
    {
        for (auto& it : routers_)
            start(it);
    }

    void run(milliseconds time)
    {
        for (milliseconds passed{0}; passed < time; passed += step)
        {
            clock_.advance(step);
            if (passed == report_delay)
                std::for_each(routers_.begin(), routers_.end(),
                              [](router& it) { set_limits(it, count); });
            for (auto& it : routers_)
            {
                it.budgets->on_request(service_);
                requests_.push_back(clock_.now());
                while (it.budgets->try_retry(service_, "id", "refused"))
                    retries_.push_back(clock_.now());
            }
        }
    }

    /// Retries beyond what the requests and the fixed part allow in the window
    /// of ten seconds that exceeds this most.
    double worst_excess() const
    {
        double res = 0;
        for (auto const& end : retries_)
        {
            auto const in_window = [&](kernel::steady_time at)
            { return at <= end && at > end - retry_budget::window; };
            auto const used =
                std::count_if(retries_.begin(), retries_.end(), in_window);
            auto const sent =
                std::count_if(requests_.begin(), requests_.end(), in_window);
            res = std::max(res, static_cast<double>(used) -
                                    ratio * static_cast<double>(sent) - fixed);
        }
        return res;
    }

    /// Retries since this long ago.
    std::size_t retries_since(milliseconds age) const
    {
        return static_cast<std::size_t>(std::count_if(
            retries_.begin(), retries_.end(),
            [&](kernel::steady_time at) { return at > clock_.now() - age; }));
    }

private:
    static constexpr milliseconds step{100};
    static constexpr milliseconds report_delay{500};

    struct router
    {
        std::unique_ptr<prometheus::Registry> registry;
        std::unique_ptr<gateway_metrics> metrics;
        std::unique_ptr<retry_budgets> budgets;
    };

    void start(router& it)
    {
        it.budgets.reset();
        it.registry = std::make_unique<prometheus::Registry>();
        it.metrics = std::make_unique<gateway_metrics>(*it.registry);
        it.budgets = std::make_unique<retry_budgets>(clock_, *it.metrics, log_);
        set_limits(it, reported_);
    }

    static void set_limits(router& it, std::size_t routers)
    {
        it.budgets->set_limits(ratio * fraction,
                               fixed * fraction / static_cast<double>(routers));
    }

    kernel::manual_clock clock_;
    observe::decision_log log_{clock_, "test", 0};
    kernel::service_id const service_{"s"};
    std::vector<router> routers_{count};
    std::size_t reported_ = count;
    std::vector<kernel::steady_time> requests_;
    std::vector<kernel::steady_time> retries_;
};

} // namespace

// Guards against processes that each use the whole budget after a restart: all
// routers are killed again and again while endpoints refuse requests.
TEST_CASE("routers that are restarted keep to the retry budget of the window")
{
    routers all;
    all.run(milliseconds(12000));
    for (int n = 0; n < 4; ++n)
    {
        all.restart_all();
        all.run(milliseconds(2500));
    }
    CHECK(all.worst_excess() <= 0);
}

// Guards against a fixed part that is divided by the number of routers that
// have already started when the first agent reports.
TEST_CASE(
    "routers that start together keep to the retry budget although agents "
    "report few of them")
{
    routers all;
    all.set_reported(1);
    all.restart_all();
    all.run(milliseconds(12000));
    CHECK(all.worst_excess() <= 0);
}

// Guards against a budget that is kept by not retrying at all.
TEST_CASE("a router that starts retries within the share of its requests, and "
          "with the fixed part after a window")
{
    routers all;
    all.run(milliseconds(5000));
    constexpr double requests_in_5_s = 50.0 * routers::count;
    constexpr double share =
        routers::ratio * routers::fraction * requests_in_5_s;
    CHECK(static_cast<double>(all.retries_since(milliseconds(5000))) >=
          share - routers::count);
    all.run(milliseconds(7000));
    constexpr double fixed = routers::fixed * routers::fraction;
    CHECK(static_cast<double>(all.retries_since(milliseconds(10000))) >=
          2 * share + fixed - 2 * routers::count);
}

// Guards against repetitions that are not urgent and use up what failed
// requests need.
TEST_CASE("half of the retries are spare")
{
    kernel::manual_clock clock;
    observe::decision_log log(clock, "test", 0);
    prometheus::Registry registry;
    gateway_metrics metrics(registry);
    retry_budgets budgets(clock, metrics, log);
    kernel::service_id const service("s");
    budgets.set_limits(0.5, 4);
    budgets.begin_full();
    for (int n = 0; n < 8; ++n)
        budgets.on_request(service);
    int spare = 0;
    while (budgets.has_spare(service) &&
           budgets.try_retry(service, "id", "isolated"))
        ++spare;
    CHECK(spare == 4);
    int rest = 0;
    while (budgets.try_retry(service, "id", "refused"))
        ++rest;
    CHECK(rest == 4);
}

} // namespace endiveward::gateway
