#include "gateway/endpoint_chooser.hpp"
#include "gateway/weights_view.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <numeric>
#include <random>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

kernel::model_id const model("m");
constexpr kernel::steady_time start{std::chrono::seconds(100)};
constexpr std::size_t zones = 4;
constexpr int short_target_ms = 500;
constexpr int long_target_ms = 1000;

/// The load of a run and the fleet that takes it.
struct load_pattern
{
    std::size_t engines = 52;
    std::size_t routers = 28;
    /// Prefill rates in turn, as a factor of the usual one.
    std::vector<double> speeds{1};
    double long_per_second = 92;
    double short_per_second = 189;
    /// Long prompts that arrive at once at one router, once a second.
    int long_group = 0;
    int run_ms = 20000;
    /// When every second engine leaves.
    int stop_half_at_ms = -1;
    /// Changes rates during the run.
    std::function<void(load_pattern&, int)> change;
};

struct load_result
{
    std::vector<int> long_ms;
    std::vector<int> short_ms;
    double prefilled_tokens = 0;
};

int percentile(std::vector<int> list, std::size_t percent)
{
    if (list.empty())
        return 0;
    std::sort(list.begin(), list.end());
    return list[(list.size() - 1) * percent / 100];
}

double mean(std::vector<int> const& list)
{
    return std::accumulate(list.begin(), list.end(), 0.0) /
           static_cast<double>(std::max<std::size_t>(list.size(), 1));
}

std::ptrdiff_t late(std::vector<int> const& list, int target_ms)
{
    return std::count_if(list.begin(), list.end(),
                         [&](int ms) { return ms > target_ms; });
}

/// A fleet of engines that prefill prompts in order of arrival, and routers
/// that know them from reports 200 ms old. Time advances by milliseconds.
class fleet
{
public:
    fleet(load_pattern load, prompt_mix_mode mode, std::uint32_t seed = 1)
        : load_(std::move(load))
        , random_(seed)
        , weights_({}, std::chrono::seconds(10))
    {
        target_.id = kernel::service_id("s");
        target_.engine = engine_properties{64, 185277, 18432};
        placement_settings settings;
        settings.prompt_mix = mode;
        engines_.resize(load_.engines);
        for (std::size_t n = 0; n < load_.routers; ++n)
        {
            routers_.push_back(
                {endpoint_chooser(settings, zone_of(n % zones)), {}});
            for (std::size_t k = 0; k < load_.engines; ++k)
                routers_.back().records.push_back(make_record(k));
        }
        for (std::size_t k = 0; k < load_.engines; ++k)
            engines_[k].speed = load_.speeds[k % load_.speeds.size()];
    }

    load_result run()
    {
        for (ms_ = 0; ms_ < load_.run_ms; ++ms_)
        {
            if (load_.change)
                load_.change(load_, ms_);
            if (ms_ == load_.stop_half_at_ms)
                stop_half();
            arrive();
            for (std::size_t k = 0; k < engines_.size(); ++k)
                step(k);
            deliver();
        }
        return std::move(result_);
    }

private:
    struct job
    {
        bool is_long = false;
        int sent_at = 0;
        double unread = 0;
        std::uint32_t memory = 0;
        request_footprint footprint;
        std::shared_ptr<endpoint_record> record;
        prefix_level shared;
        int ends_at = 0;
    };

    struct engine
    {
        double speed = 1;
        std::deque<job> queue;
        std::vector<job> running;
        std::uint64_t memory = 0;
        std::uint64_t progress = 0;
        /// Cached prefixes, the one used last first.
        std::list<prefix_level> cached;
    };

    struct router
    {
        endpoint_chooser chooser;
        std::vector<std::shared_ptr<endpoint_record>> records;
    };

    struct report
    {
        int due = 0;
        std::size_t engine = 0;
        wire::engine_state state;
        wire::cache_change cache;
    };

    /// Prefill rate at usual speed.
    static constexpr double tokens_per_ms = 57;
    static constexpr int report_interval_ms = 50;
    static constexpr int report_age_ms = 200;
    static constexpr int decode_ms = 3000;
    static constexpr std::size_t cached_prefixes = 12;
    static constexpr std::uint32_t output_tokens = 300;

    static kernel::zone_id zone_of(std::size_t n)
    {
        return kernel::zone_id("z" + std::to_string(n));
    }

    std::shared_ptr<endpoint_record> make_record(std::size_t k) const
    {
        endpoint_entry entry;
        entry.id = kernel::endpoint_id("e" + std::to_string(k));
        entry.service = target_.id;
        entry.host = "127.0.0.1";
        entry.port = static_cast<std::uint16_t>(1000 + k);
        entry.zone = zone_of(k % zones);
        entry.slots = 64;
        entry.incarnation = 1;
        entry.models = {{model, 1}};
        auto res = std::make_shared<endpoint_record>(entry);
        wire::engine_state state;
        state.endpoint_incarnation = 1;
        state.weights = {{model, 1}};
        res->on_state(state, start);
        return res;
    }

    void stop_half()
    {
        for (auto& it : routers_)
        {
            for (std::size_t k = 0; k < engines_.size(); k += 2)
                it.records[k]->on_leaving();
        }
    }

    std::uint32_t uniform(std::uint32_t low, std::uint32_t high)
    {
        return std::uniform_int_distribution<std::uint32_t>(low, high)(random_);
    }

    /// 6,600 tokens on average, 54,600 at most with the shared part.
    std::uint32_t long_tokens()
    {
        return uniform(1, 10) == 1 ? uniform(8000, 49200) : uniform(800, 7000);
    }

    kernel::steady_time now() const { return start + milliseconds(ms_); }

    void arrive()
    {
        std::bernoulli_distribution next_long(load_.long_per_second / 1000);
        std::bernoulli_distribution next_short(load_.short_per_second / 1000);
        if (next_long(random_))
            send(true, routers_[uniform(0, load_.routers - 1)]);
        if (next_short(random_))
            send(false, routers_[uniform(0, load_.routers - 1)]);
        if (ms_ % 1000 == 500)
        {
            auto& at = routers_[uniform(0, load_.routers - 1)];
            for (int n = 0; n < load_.long_group; ++n)
                send(true, at);
        }
    }

    void send(bool is_long, router& at)
    {
        endpoint_requirements requirements;
        requirements.service = target_.id;
        requirements.seed = random_();
        auto const own =
            prompt_part{"own" + std::to_string(++requests_),
                        is_long ? long_tokens() : uniform(600, 3000)};
        // A session lasts for some 30 requests.
        auto const session = std::to_string(requests_ / 4000) + "." +
                             std::to_string(uniform(0, is_long ? 120 : 60));
        if (is_long)
            requirements.prompt = prompt_info{
                model, {{"policy", 500}, {"l" + session, 4882}, own}, 0, 0};
        else
            requirements.prompt =
                prompt_info{model, {{"s" + session, 568}, own}, 0, 0};
        for (auto const& it : requirements.prompt->parts)
            requirements.prompt->prompt_tokens += it.tokens;
        requirements.prompt->max_output_tokens = output_tokens;
        auto choice = at.chooser.choose(at.records, target_, requirements,
                                        weights_, now());
        if (!choice)
            return;
        auto const k =
            static_cast<std::size_t>(choice->endpoint->entry().port - 1000);
        job added;
        added.is_long = is_long;
        added.sent_at = ms_;
        added.footprint = choice->footprint;
        added.memory = choice->footprint.memory_tokens;
        added.record = choice->endpoint;
        added.shared = choice->shared;
        auto reused = cached_at(engines_[k], choice->shared);
        if (!choice->kv.source.empty())
            reused = std::max(
                reused,
                cached_at(
                    engines_[std::stoul(choice->kv.source.substr(10)) - 1000],
                    choice->shared));
        added.unread = requirements.prompt->prompt_tokens - reused;
        result_.prefilled_tokens += added.unread;
        choice->endpoint->cache().expect(choice->levels, now());
        choice->endpoint->on_sent(choice->footprint, now());
        engines_[k].memory += added.memory;
        engines_[k].queue.push_back(std::move(added));
    }

    static std::uint32_t cached_at(engine const& it, prefix_level const& shared)
    {
        auto const found =
            std::find_if(it.cached.begin(), it.cached.end(),
                         [&](auto const& l) { return l.key == shared.key; });
        return found == it.cached.end() ? 0 : shared.tokens;
    }

    void step(std::size_t k)
    {
        auto& it = engines_[k];
        auto budget = tokens_per_ms * it.speed;
        while (!it.queue.empty() && budget > 0)
        {
            auto& head = it.queue.front();
            auto const read = std::min(budget, head.unread);
            head.unread -= read;
            budget -= read;
            if (head.unread > 0)
                break;
            auto done = std::move(head);
            it.queue.pop_front();
            answer(k, std::move(done));
        }
        for (auto& done : it.running)
        {
            if (done.ends_at != ms_)
                continue;
            it.memory -= done.memory;
            done.record->on_finished(done.footprint, true);
        }
        std::erase_if(it.running,
                      [&](job const& j) { return j.ends_at == ms_; });
        if ((static_cast<std::size_t>(ms_) + k) % report_interval_ms == 0)
            report_state(k);
    }

    void answer(std::size_t k, job done)
    {
        auto& it = engines_[k];
        ++it.progress;
        (done.is_long ? result_.long_ms : result_.short_ms)
            .push_back(ms_ - done.sent_at);
        done.record->on_response_started(done.footprint, now());
        done.record->on_success(now());
        done.ends_at = ms_ + decode_ms;
        report news{ms_ + report_age_ms, k, {}, {}};
        auto const levels = std::erase_if(it.cached, [&](auto const& l)
                                          { return l.key == done.shared.key; });
        it.cached.push_front(done.shared);
        if (levels == 0)
            news.cache.parts.push_back(
                {done.shared.key, done.shared.part_tokens});
        if (done.is_long)
            news.cache.parts.push_back(
                {part_key(make_cache_salt("", model, 1), "policy"), 500});
        if (it.cached.size() > cached_prefixes)
        {
            news.cache.parts.push_back({it.cached.back().key, 0});
            it.cached.pop_back();
        }
        if (!news.cache.parts.empty())
            reports_.push_back(std::move(news));
        it.running.push_back(std::move(done));
    }

    void report_state(std::size_t k)
    {
        auto const& it = engines_[k];
        report next{ms_ + report_age_ms, k, {}, {}};
        next.state.endpoint_incarnation = 1;
        next.state.running =
            static_cast<std::uint32_t>(it.running.size() + it.queue.size());
        next.state.unanswered = static_cast<std::uint32_t>(it.queue.size());
        next.state.memory_used = it.memory;
        next.state.memory_total = 185277;
        next.state.progress = it.progress;
        reports_.push_back(std::move(next));
    }

    void deliver()
    {
        for (; !reports_.empty() && reports_.front().due <= ms_;
             reports_.pop_front())
        {
            auto const& it = reports_.front();
            for (auto& to : routers_)
            {
                auto& record = *to.records[it.engine];
                if (it.state.endpoint_incarnation != 0)
                    record.on_state(it.state, now());
                else
                    record.on_cache(it.cache);
            }
        }
    }

    load_pattern load_;
    std::mt19937 random_;
    weights_view weights_;
    service target_;
    std::vector<engine> engines_;
    std::vector<router> routers_;
    std::deque<report> reports_;
    load_result result_;
    int ms_ = 0;
    std::uint64_t requests_ = 0;
};

/// The same load, placed without and with regard to the mix.
struct comparison
{
    comparison(load_pattern const& load, std::uint32_t seed)
        : off(fleet(load, prompt_mix_mode::off, seed).run())
        , on(fleet(load, prompt_mix_mode::on, seed).run())
    {
    }

    std::string text() const
    {
        return describe("off", off) + "\n" + describe("on", on);
    }

    static std::string describe(char const* mode, load_result const& it)
    {
        return fmt::format(
            "{}: short n={} p99={} late={}; long n={} mean={:.0f} p95={} "
            "late={}; tokens={:.0f}",
            mode, it.short_ms.size(), percentile(it.short_ms, 99),
            late(it.short_ms, short_target_ms), it.long_ms.size(),
            mean(it.long_ms), percentile(it.long_ms, 95),
            late(it.long_ms, long_target_ms), it.prefilled_tokens);
    }

    load_result off;
    load_result on;
};

// The pattern shows the fault without regard to the mix. With it, short prompts
// meet their target, and long ones are not later by over 5 %.
void check_both_meet_their_targets(load_pattern const& load)
{
    auto const seed = GENERATE(1U, 2U, 3U);
    comparison const both(load, seed);
    INFO("seed " << seed << "\n" << both.text());
    CHECK(percentile(both.off.short_ms, 99) > short_target_ms);
    CHECK(percentile(both.on.short_ms, 99) <= short_target_ms);
    CHECK(late(both.on.short_ms, short_target_ms) * 2 <
          late(both.off.short_ms, short_target_ms));
    CHECK(mean(both.on.long_ms) < 1.05 * mean(both.off.long_ms));
    CHECK(percentile(both.on.long_ms, 95) <
          1.05 * percentile(both.off.long_ms, 95));
    CHECK(both.on.prefilled_tokens < 1.03 * both.off.prefilled_tokens);
}

} // namespace

// Load pattern: deployment K. 28 routers place prompts by reports 200 ms old at
// 52 engines of different speed. Short prompts were sent behind long ones that
// no report had told of; one in 40 missed its target.
TEST_CASE("short prompts do not wait behind long ones of other routers")
{
    load_pattern load;
    load.speeds = {0.7, 0.7, 1.7};
    check_both_meet_their_targets(load);
}

TEST_CASE("four times as many short prompts as long ones meet their target")
{
    load_pattern load;
    load.long_per_second = 70;
    load.short_per_second = 280;
    check_both_meet_their_targets(load);
}

// Load pattern: bursts of 1.6 and 2 times K's rates. Guards against too large a
// share of endpoints for long prompts, with which others wait for each other.
TEST_CASE("in a burst, neither kind is late over 5 % more often")
{
    auto const factor = GENERATE(1.6, 2.0);
    auto const seed = GENERATE(1U, 2U, 3U);
    load_pattern load;
    load.speeds = {0.7, 0.7, 1.7};
    load.long_per_second *= factor;
    load.short_per_second *= factor;
    comparison const both(load, seed);
    INFO("factor " << factor << ", seed " << seed << "\n" << both.text());
    CHECK(static_cast<double>(late(both.on.short_ms, short_target_ms)) <
          1.05 * static_cast<double>(late(both.off.short_ms, short_target_ms)));
    CHECK(static_cast<double>(late(both.on.long_ms, long_target_ms)) <
          1.05 * static_cast<double>(late(both.off.long_ms, long_target_ms)));
    CHECK(percentile(both.on.short_ms, 99) < percentile(both.off.short_ms, 99));
}

// Load pattern: a batch of 20 long prompts arrives at one router each second.
TEST_CASE("a group of long prompts at one router does not delay short ones")
{
    load_pattern load;
    load.long_per_second = 70;
    load.long_group = 20;
    check_both_meet_their_targets(load);
}

// Guards against a share that is computed for endpoints that have left: the
// remaining ones would all count as endpoints for short prompts.
TEST_CASE("the mix is kept when half of the endpoints are gone")
{
    load_pattern load;
    load.long_per_second = 60;
    load.short_per_second = 120;
    load.stop_half_at_ms = 3000;
    check_both_meet_their_targets(load);
}

// Guards against a share of endpoints that stays unused, or too small, when
// all prompts are of one kind.
TEST_CASE("prompts of one kind use all endpoints")
{
    auto const is_long = GENERATE(false, true);
    auto const seed = GENERATE(1U, 2U, 3U);
    load_pattern load;
    load.long_per_second = is_long ? 130 : 0;
    load.short_per_second = is_long ? 0 : 400;
    comparison const both(load, seed);
    INFO("seed " << seed << "\n" << both.text());
    if (is_long)
    {
        CHECK(mean(both.on.long_ms) < 1.05 * mean(both.off.long_ms));
        CHECK(percentile(both.on.long_ms, 95) <
              1.05 * percentile(both.off.long_ms, 95));
        return;
    }
    // A few endpoints are kept for the long prompts that are assumed to come.
    CHECK(percentile(both.on.short_ms, 99) < short_target_ms / 3);
    CHECK(percentile(both.on.short_ms, 95) <
          1.15 * percentile(both.off.short_ms, 95));
}

// Load pattern: 6 s of long prompts only, 6 s of short ones only, then both.
// The share is learned anew with each change.
TEST_CASE("the mix follows a change between long and short prompts")
{
    auto const seed = GENERATE(1U, 2U, 3U);
    load_pattern load;
    load.run_ms = 24000;
    load.change = [](load_pattern& current, int ms)
    {
        constexpr int phase_ms = 6000;
        auto const phase = ms / phase_ms;
        current.long_per_second = phase == 0 ? 130 : phase == 1 ? 0 : 92;
        current.short_per_second = phase == 0 ? 0 : phase == 1 ? 400 : 189;
    };
    comparison const both(load, seed);
    INFO("seed " << seed << "\n" << both.text());
    CHECK(late(both.on.short_ms, short_target_ms) * 2 <
          late(both.off.short_ms, short_target_ms));
    CHECK(percentile(both.on.short_ms, 99) <= short_target_ms);
    CHECK(mean(both.on.long_ms) < 1.05 * mean(both.off.long_ms));
}

} // namespace endiveward::gateway
