#include "gateway/endpoint_chooser.hpp"
#include "gateway/weights_view.hpp"

#include <catch2/catch.hpp>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace endiveward::gateway
{

namespace
{

placement_settings by_speed()
{
    placement_settings res;
    res.prefers_by_speed = true;
    return res;
}

using std::chrono::milliseconds;
using duration = request_work::duration;

kernel::model_id const model("m");
kernel::steady_time const start{std::chrono::seconds(100)};

constexpr std::size_t n_routers = 28;
constexpr std::size_t n_endpoints = 52;
constexpr std::array speeds{0.7, 0.7, 1.7};
/// Prompt tokens per millisecond at usual speed.
constexpr double prefill_rate = 57;
constexpr double slowdown = 2.5;
constexpr milliseconds neighbor_period{600};
constexpr milliseconds report_interval{200};
/// Until a report or a shared factor has arrived.
constexpr milliseconds link_delay{100};
constexpr milliseconds share_interval{2000};
constexpr milliseconds tick_interval{500};

std::vector<std::shared_ptr<endpoint_record>> make_records()
{
    std::vector<std::shared_ptr<endpoint_record>> res;
    for (std::size_t n = 0; n < n_endpoints; ++n)
    {
        endpoint_entry it;
        it.id = kernel::endpoint_id("e" + std::to_string(n));
        it.service = kernel::service_id("s");
        it.host = "127.0.0.1";
        it.port = static_cast<std::uint16_t>(1000 + n);
        it.zone = kernel::zone_id("z" + std::to_string(n % 4));
        it.slots = 64;
        it.incarnation = 1;
        it.models = {{model, 1}};
        res.push_back(std::make_shared<endpoint_record>(it, n));
    }
    return res;
}

service make_service()
{
    service res;
    res.id = kernel::service_id("s");
    res.engine = engine_properties{64, 185277, 18432};
    return res;
}

/// Engines of three speeds with neighbors that come and go, and routers that
/// know them from reports and answers. Each engine prefills one prompt after
/// the other.
class fleet_model
{
public:
    struct outcome
    {
        int long_streams = 0;
        int late_long = 0;
        int short_streams = 0;
        int late_short = 0;
        /// Busy time of the busiest engine over the mean.
        double imbalance = 0;
    };

    /// `named`: engines name the fourth number.
    fleet_model(bool named, unsigned seed)
        : named_(named)
        , random_(seed)
        , weights_({}, std::chrono::seconds(10))
        , target_(make_service())
    {
        for (std::size_t n = 0; n < n_routers; ++n)
            routers_.push_back(
                {endpoint_chooser(by_speed(),
                                  kernel::zone_id("z" + std::to_string(n % 4))),
                 make_records(),
                 {}});
        for (std::size_t n = 0; n < n_endpoints; ++n)
            report(n, start + milliseconds(n * 200 / n_endpoints));
        for (std::size_t n = 0; n < n_routers; ++n)
            tick(n, start + milliseconds(n * 500 / n_routers));
    }

    outcome run(std::chrono::seconds warm_up, std::chrono::seconds time)
    {
        measured_from_ = start + warm_up;
        auto const end = measured_from_ + time;
        arrive(true, start);
        arrive(false, start);
        while (!events_.empty() && events_.top().at < end)
        {
            auto const event = events_.top();
            events_.pop();
            now_ = event.at;
            event.run();
        }
        double busiest = 0;
        double sum = 0;
        for (auto const& it : engines_)
        {
            busiest = std::max(busiest, it.busy.count());
            sum += it.busy.count();
        }
        outcome_.imbalance = busiest * n_endpoints / sum;
        return outcome_;
    }

private:
    struct event
    {
        kernel::steady_time at{};
        std::uint64_t number = 0;
        std::function<void()> run;

        bool operator<(event const& other) const
        {
            return std::pair(at, number) > std::pair(other.at, other.number);
        }
    };

    struct engine
    {
        kernel::steady_time free_at = start;
        duration busy{0};
        std::uint32_t unanswered = 0;
        std::set<std::string> cached;
        std::vector<prefix_level> news;
    };

    struct router
    {
        endpoint_chooser chooser;
        std::vector<std::shared_ptr<endpoint_record>> records;
        std::array<kernel::steady_time, n_endpoints> shared_at;
    };

    void at(kernel::steady_time time, std::function<void()> run)
    {
        events_.push({time, ++events_planned_, std::move(run)});
    }

    static kernel::steady_time after(kernel::steady_time from, duration time)
    {
        return from +
               std::chrono::duration_cast<kernel::steady_time::duration>(time);
    }

    /// At any time 15 % of the engines have a busy neighbor.
    static bool slowed(std::size_t engine, kernel::steady_time time)
    {
        std::array const words{
            static_cast<std::uint64_t>(engine),
            static_cast<std::uint64_t>((time - start) / neighbor_period)};
        return XXH3_64bits(words.data(), sizeof(words)) % 100 < 15;
    }

    void report(std::size_t n, kernel::steady_time time)
    {
        at(time,
           [this, n, time]
           {
               wire::engine_state state;
               state.endpoint_incarnation = 1;
               state.weights = {{model, 1}};
               state.running = engines_[n].unanswered;
               state.unanswered = engines_[n].unanswered;
               auto const news = std::exchange(engines_[n].news, {});
               at(time + link_delay,
                  [this, n, state, news]
                  {
                      for (auto const& it : routers_)
                      {
                          it.records[n]->on_state(state, now_);
                          for (auto const& level : news)
                              it.records[n]->cache().report(level.key,
                                                            level.part_tokens);
                      }
                  });
               report(n, time + report_interval);
           });
    }

    void tick(std::size_t n, kernel::steady_time time)
    {
        at(time,
           [this, n, time]
           {
               double sum = 0;
               int samples = 0;
               for (auto const& it : routers_[n].records)
               {
                   if (!it->speed().has_samples(now_))
                       continue;
                   sum += std::log(it->speed().learned(now_));
                   ++samples;
               }
               for (auto const& it : routers_[n].records)
               {
                   if (named_)
                       it->speed().enable();
                   it->speed().refresh(
                       samples > 0 ? std::exp(sum / samples) : 1, now_);
               }
               tick(n, time + tick_interval);
           });
    }

    void arrive(bool is_long, kernel::steady_time time)
    {
        std::exponential_distribution<double> gap(is_long ? 0.092 : 0.189);
        at(after(time, duration(gap(random_))),
           [this, is_long]
           {
               auto const arrived = now_;
               send(is_long);
               arrive(is_long, arrived);
           });
    }

    void send(bool is_long)
    {
        std::lognormal_distribution<double> tokens(8.3, 1);
        auto const own = is_long ? std::min(tokens(random_), 49218.0) : 1800.0;
        auto const number = ++requests_;
        auto const session =
            (is_long ? "long" : "short") + std::to_string(random_() % 300);
        endpoint_requirements requirements;
        requirements.service = target_.id;
        requirements.seed = XXH3_64bits(&number, sizeof(number));
        auto const shared = is_long ? 5382U : 568U;
        requirements.prompt = prompt_info{
            model,
            {{session, shared},
             {"own" + std::to_string(number), static_cast<std::uint32_t>(own)}},
            shared + static_cast<std::uint32_t>(own),
            300};
        requirements.target_latency = milliseconds(is_long ? 1000 : 500);
        requirements.due = now_ + requirements.target_latency;
        auto const n = random_() % n_routers;
        auto& from = routers_[n];
        auto choice = from.chooser.choose(from.records, target_, requirements,
                                          weights_, now_);
        REQUIRE(choice);
        auto const chosen = static_cast<std::size_t>(
            std::find(from.records.begin(), from.records.end(),
                      choice->endpoint) -
            from.records.begin());
        auto& record = *choice->endpoint;
        record.cache().expect(choice->levels, now_);
        record.on_sent(choice->footprint, now_);
        auto& to = engines_[chosen];
        auto uncached = own;
        if (to.cached.insert(session).second)
        {
            uncached += shared;
            to.news.push_back(choice->levels.front());
        }
        ++to.unanswered;
        auto const begin = std::max(now_, to.free_at);
        auto const figure = slowed(chosen, begin) ? slowdown : 1;
        duration const work(uncached / prefill_rate /
                            speeds[chosen % speeds.size()] * figure);
        to.free_at = after(begin, work);
        if (now_ >= measured_from_)
            to.busy += work;
        at(to.free_at,
           [this, n, chosen, is_long, figure, choice = *choice, sent = now_]
           { answer(n, chosen, is_long, figure, choice, sent); });
    }

    void answer(std::size_t n, std::size_t chosen, bool is_long, double figure,
                placement_choice const& choice, kernel::steady_time sent)
    {
        --engines_[chosen].unanswered;
        auto& record = *choice.endpoint;
        record.on_response_started(choice.footprint, now_);
        record.on_finished(choice.footprint, true);
        if (sent >= measured_from_)
        {
            auto const took = now_ - sent;
            ++(is_long ? outcome_.long_streams : outcome_.short_streams);
            if (took > milliseconds(is_long ? 1000 : 500))
                ++(is_long ? outcome_.late_long : outcome_.late_short);
        }
        if (!named_)
            return;
        auto& speed = record.speed();
        speed.on_figure(figure, now_);
        auto& shared_at = routers_[n].shared_at[chosen];
        if (!speed.on_answer(choice.work, now_ - sent, now_) ||
            now_ - shared_at < share_interval)
            return;
        shared_at = now_;
        at(now_ + link_delay,
           [this, n, chosen, factor = *speed.own_factor()]
           {
               for (std::size_t k = 0; k < n_routers; ++k)
               {
                   if (k != n)
                       routers_[k].records[chosen]->speed().on_shared(n, factor,
                                                                      now_);
               }
           });
    }

    bool named_;
    std::mt19937 random_;
    weights_view weights_;
    service target_;
    std::vector<router> routers_;
    std::array<engine, n_endpoints> engines_;
    std::priority_queue<event> events_;
    std::uint64_t events_planned_ = 0;
    std::uint64_t requests_ = 0;
    kernel::steady_time now_ = start;
    kernel::steady_time measured_from_{};
    outcome outcome_;
};

} // namespace

// Load pattern: a quiet day of deployment K: 28 routers, 52 engines of 0.7, 0.7
// and 1.7 times the usual speed, neighbors that slow 15 % of them down for
// 600 ms, reports 200 ms old. Guards against work that is spread by number, so
// that slow engines are the busiest and long prompts come late.
TEST_CASE("work is spread over engines by their speed")
{
    auto const seed = GENERATE(7U, 8U);
    std::chrono::seconds const warm_up(15);
    std::chrono::seconds const measured(60);
    auto const before = fleet_model(false, seed).run(warm_up, measured);
    auto const after = fleet_model(true, seed).run(warm_up, measured);
    CAPTURE(before.long_streams, before.late_long, before.short_streams,
            before.late_short, before.imbalance);
    CAPTURE(after.late_long, after.late_short, after.imbalance);
    CHECK(after.late_long * 2 < before.late_long);
    CHECK(after.late_short * 3 < before.late_short * 2);
    CHECK(after.imbalance < 1.2);
    CHECK(after.imbalance < before.imbalance);
}

} // namespace endiveward::gateway
