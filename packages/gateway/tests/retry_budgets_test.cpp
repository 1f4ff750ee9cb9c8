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

    std::size_t retries() const { return retries_.size(); }

private:
    static constexpr milliseconds step{100};

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
        it.budgets->set_limits(ratio * fraction, fixed * fraction / count);
    }

    kernel::manual_clock clock_;
    observe::decision_log log_{clock_, "test", 0};
    kernel::service_id const service_{"s"};
    std::vector<router> routers_{count};
    std::vector<kernel::steady_time> requests_;
    std::vector<kernel::steady_time> retries_;
};

} // namespace

// Guards against lives of a process that use the whole budget each: all routers
// are killed again and again while endpoints refuse requests.
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

} // namespace endiveward::gateway
