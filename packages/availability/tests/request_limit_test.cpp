#include "availability/request_limit.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace endiveward::availability
{

namespace
{

using kernel::steady_time;
using std::chrono::milliseconds;

constexpr steady_time start{std::chrono::hours(1)};

/// Processes that send to one endpoint and report each request to the others,
/// which learn of it with a delay.
class fleet
{
public:
    struct conditions
    {
        std::size_t processes = 5;
        double limit = 1;
        /// Requests a second, at random processes, that would be sent to the
        /// endpoint if it had no limit.
        double demand = 10;
        milliseconds report_delay{50};
    };

    fleet(conditions const& given, unsigned seed)
        : conditions_(given)
        , limits_(given.processes)
        , cut_(given.processes, false)
        , random_(seed)
    {
        for (auto& it : limits_)
            it.on_named(given.limit, start);
    }

    /// Cuts a process off from the others, which it notices at once.
    void cut(std::size_t process, bool value)
    {
        cut_[process] = value;
        limits_[process].set_share(
            value ? 1.0 / static_cast<double>(limits_.size()) : 1, now_);
    }

    void run(milliseconds time)
    {
        std::exponential_distribution<double> gap(conditions_.demand);
        std::uniform_int_distribution<std::size_t> any(0, limits_.size() - 1);
        auto const end = now_ + time;
        while (now_ < end)
        {
            now_ += std::chrono::ceil<milliseconds>(
                std::chrono::duration<double>(gap(random_)));
            deliver();
            request_at(any(random_));
        }
    }

    std::vector<steady_time> const& sent() const { return sent_; }

    /// The most requests that the endpoint got within 4 s.
    std::size_t most_in_window() const
    {
        constexpr milliseconds window{4000};
        std::size_t res = 0;
        std::size_t first = 0;
        for (std::size_t n = 0; n < sent_.size(); ++n)
        {
            while (sent_[n] - sent_[first] > window)
                ++first;
            res = std::max(res, n - first + 1);
        }
        return res;
    }

private:
    struct report
    {
        steady_time at;
        std::size_t from;
    };

    void request_at(std::size_t process)
    {
        if (limits_[process].blocked_until(now_))
            return;
        limits_[process].on_sent(now_);
        sent_.push_back(now_);
        if (!cut_[process])
            reports_.push_back({now_ + conditions_.report_delay, process});
    }

    void deliver()
    {
        while (!reports_.empty() && reports_.front().at <= now_)
        {
            auto const it = reports_.front();
            reports_.pop_front();
            for (std::size_t n = 0; n < limits_.size(); ++n)
            {
                if (n != it.from && !cut_[n])
                    limits_[n].on_sent(it.at);
            }
        }
    }

    conditions conditions_;
    std::vector<request_limit> limits_;
    std::vector<bool> cut_;
    std::mt19937 random_;
    std::deque<report> reports_;
    std::vector<steady_time> sent_;
    steady_time now_ = start;
};

/// What an endpoint may get within 4 s: half as much again as its limit allows,
/// and 5 requests.
double allowed_in_window(double limit)
{
    return 1.5 * 4 * limit + 5;
}

} // namespace

// Guards against processes that each keep the limit, while their sum exceeds
// it.
TEST_CASE("all processes together keep the limit of an endpoint")
{
    auto const processes = GENERATE(1, 5, 103);
    auto const limit = GENERATE(0.3, 1.0, 6.0, 40.0);
    auto const demand = GENERATE(1.0, 5.0, 20.0);
    constexpr unsigned seeds = 20;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        fleet tested({static_cast<std::size_t>(processes), limit,
                      demand * std::max(limit, 1.0), milliseconds(50)},
                     seed);
        tested.run(std::chrono::seconds(60));
        INFO("processes " << processes << " limit " << limit << " demand "
                          << demand << " seed " << seed);
        CHECK(static_cast<double>(tested.most_in_window()) <=
              allowed_in_window(limit));
    }
}

// Guards against a limit that takes the endpoint out of use: with more demand
// than it takes, most of the limit is used.
TEST_CASE("a limited endpoint is used up to its limit")
{
    auto const processes = GENERATE(1, 5, 103);
    auto const limit = GENERATE(1.0, 6.0);
    fleet tested({static_cast<std::size_t>(processes), limit, 5 * limit,
                  milliseconds(50)},
                 7);
    tested.run(std::chrono::seconds(60));
    CHECK(static_cast<double>(tested.sent().size()) >= 0.75 * 60 * limit);
}

// Guards against processes that use the whole limit each while they do not hear
// of each other.
TEST_CASE("processes that are cut off keep to their share")
{
    constexpr unsigned seeds = 20;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        fleet tested({5, 1.2, 10, milliseconds(50)}, seed);
        tested.run(std::chrono::seconds(5));
        for (std::size_t n = 0; n < 5; ++n)
            tested.cut(n, true);
        tested.run(std::chrono::seconds(20));
        tested.cut(0, false);
        tested.cut(1, false);
        tested.run(std::chrono::seconds(20));
        INFO("seed " << seed);
        CHECK(static_cast<double>(tested.most_in_window()) <=
              allowed_in_window(1.2));
    }
}

// Guards against a limit that holds after the endpoint has stopped naming it,
// and against one that a late response ends.
TEST_CASE("a limit ends when a later response names none")
{
    request_limit limit;
    auto const ms = [](int n) { return start + milliseconds(n); };
    CHECK_FALSE(limit.blocked_until(ms(0)));
    CHECK(limit.on_named(1, ms(100)));
    CHECK_FALSE(limit.on_named(1, ms(110)));
    CHECK(limit.blocked_until(ms(110)));
    CHECK_FALSE(limit.on_not_named(ms(105), ms(120)));
    CHECK(limit.rate() == 1.0);
    CHECK(limit.on_not_named(ms(111), ms(130)));
    CHECK_FALSE(limit.rate());
    CHECK_FALSE(limit.blocked_until(ms(130)));
}

// Guards against a report of another process that undoes what the endpoint has
// just said.
TEST_CASE("the end of a limit is not taken from a report while it is named")
{
    request_limit limit;
    auto const ms = [](int n) { return start + milliseconds(n); };
    limit.on_named(1, ms(0));
    CHECK_FALSE(limit.on_end_reported(ms(900)));
    CHECK(limit.on_end_reported(ms(1100)));
    CHECK_FALSE(limit.rate());
    CHECK(limit.on_reported(2, ms(1200)));
    CHECK(limit.rate() == 2.0);
}

// Guards against an agent's report that undoes a limit which responses name,
// and the other way round.
TEST_CASE(
    "the lower one of the limits named to requests and to the agent holds")
{
    request_limit limit;
    CHECK(limit.on_agent_report(3.0, start));
    CHECK(limit.on_named(2, start));
    CHECK(limit.rate() == 2.0);
    CHECK_FALSE(limit.on_agent_report(std::nullopt, start));
    CHECK(limit.rate() == 2.0);
    CHECK(limit.on_agent_report(1.0, start));
    CHECK(limit.on_not_named(start + milliseconds(1),
                             start + milliseconds(2)) == false);
    CHECK(limit.rate() == 1.0);
    limit.reset();
    CHECK_FALSE(limit.rate());
}

// Guards against an endpoint that takes no requests and can therefore never say
// that it takes some again.
TEST_CASE("an endpoint that takes no requests is tried now and then")
{
    request_limit limit;
    limit.on_named(0, start);
    CHECK(limit.blocked_until(start + milliseconds(9000)));
    CHECK_FALSE(limit.blocked_until(start + milliseconds(10001)));
    limit.on_sent(start + milliseconds(10001));
    CHECK(limit.blocked_until(start + milliseconds(10002)));
}

} // namespace endiveward::availability
