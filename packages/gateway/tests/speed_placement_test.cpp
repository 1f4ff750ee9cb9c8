#include "gateway/endpoint_chooser.hpp"
#include "gateway/weights_view.hpp"

#include <catch2/catch.hpp>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

kernel::model_id const model("m");
kernel::steady_time const start{std::chrono::seconds(100)};

endpoint_entry make_entry(std::size_t n)
{
    endpoint_entry res;
    res.id = kernel::endpoint_id("e" + std::to_string(n));
    res.service = kernel::service_id("s");
    res.host = "127.0.0.1";
    res.port = static_cast<std::uint16_t>(1000 + n);
    res.zone = kernel::zone_id("z" + std::to_string(n % 4));
    res.slots = 64;
    res.incarnation = 1;
    res.models = {{model, 1}};
    return res;
}

service make_service(bool engine)
{
    service res;
    res.id = kernel::service_id("s");
    if (engine)
        res.engine = engine_properties{64, 185277, 18432};
    return res;
}

placement_settings by_speed()
{
    placement_settings res;
    res.prefers_by_speed = true;
    return res;
}

endpoint_requirements make_requirements(std::uint64_t seed,
                                        std::uint32_t shared, std::uint32_t own,
                                        bool prompt = true)
{
    endpoint_requirements res;
    res.service = kernel::service_id("s");
    res.seed = XXH3_64bits(&seed, sizeof(seed));
    if (prompt)
        res.prompt = prompt_info{model,
                                 {{"f" + std::to_string(seed % 97), shared},
                                  {"own" + std::to_string(seed), own}},
                                 shared + own,
                                 300};
    return res;
}

std::uint64_t add(std::uint64_t digest, std::string const& text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), digest);
}

/// Chooses endpoints under a pseudo-random load and returns a digest of the
/// choices and their estimates.
std::uint64_t digest_of_choices(bool engine)
{
    endpoint_chooser const chooser({}, kernel::zone_id("z0"));
    weights_view const weights({}, std::chrono::seconds(10));
    auto const target = make_service(engine);
    std::mt19937 random(1);
    std::vector<std::shared_ptr<endpoint_record>> records;
    for (std::size_t n = 0; n < 52; ++n)
        records.push_back(std::make_shared<endpoint_record>(make_entry(n), n));
    std::uint64_t res = 0;
    auto now = start;
    for (std::uint64_t n = 0; n < 2000; ++n)
    {
        now += milliseconds(random() % 8);
        auto const shared = static_cast<std::uint32_t>(random() % 6000);
        auto const own = static_cast<std::uint32_t>(500 + random() % 50000);
        auto requirements = make_requirements(n, shared, own, engine);
        requirements.max_wait = milliseconds(300);
        requirements.target_latency = milliseconds(1000);
        requirements.due = now + milliseconds(random() % 1000);
        auto& reported = *records[random() % records.size()];
        wire::engine_state state;
        state.endpoint_incarnation = 1;
        state.weights = {{model, 1}};
        state.running = random() % 40;
        state.waiting = random() % 6;
        state.unanswered = random() % 8;
        state.memory_used = random() % 180000;
        reported.on_state(state, now);
        auto const choice =
            chooser.choose(records, target, requirements, weights, now);
        REQUIRE(choice);
        auto const& endpoint = choice->endpoint;
        res = add(res, endpoint->entry().id.str());
        res = add(res, choice->kv.source);
        res = add(res, std::to_string(choice->wait.count()) + "/" +
                           std::to_string(choice->time_to_first_byte.count()));
        endpoint->cache().expect(choice->levels, now);
        endpoint->on_sent(choice->footprint, now);
        if (random() % 4 != 0)
        {
            endpoint->on_response_started(choice->footprint, now);
            endpoint->on_finished(choice->footprint, true);
        }
    }
    return res;
}

} // namespace

// Guards against changed choices of deployments whose endpoints name three
// numbers. The digests were taken with the chooser of commit 5c8f2a5, before it
// knew of speed.
TEST_CASE("without figures choices are as before speed was known")
{
    CHECK(digest_of_choices(true) == 1471340546756117921U);
    CHECK(digest_of_choices(false) == 10332033285106800481U);
}

// Guards against estimates of time that differ from one another.
TEST_CASE("all estimates of time follow the speed of the endpoint")
{
    endpoint_chooser const chooser({}, kernel::zone_id("z0"));
    weights_view const weights({}, std::chrono::seconds(10));
    auto const record = std::make_shared<endpoint_record>(make_entry(0));
    record->on_sent({45000, 45300}, start);
    auto const choose = [&]
    {
        return chooser.choose(std::vector{record}, make_service(true),
                              make_requirements(1, 0, 9000), weights, start);
    };
    auto const nominal = choose();
    REQUIRE(nominal);
    record->speed().enable();
    record->speed().refresh(0.5, start);
    record->speed().on_figure(1, start);
    auto const slow = choose();
    REQUIRE(slow);
    CHECK(nominal->wait.count() >= 1000);
    CHECK(std::abs(slow->wait.count() - 2 * nominal->wait.count()) <= 2);
    CHECK(std::abs(slow->time_to_first_byte.count() -
                   2 * nominal->time_to_first_byte.count()) <= 4);
    CHECK(slow->work.total() == nominal->work.total());
}

namespace
{

/// Idle endpoints, every third one faster, whose speeds are known.
struct speeds_fixture
{
    speeds_fixture()
        : chooser(by_speed(), kernel::zone_id("z"))
        , weights({}, std::chrono::seconds(10))
        , target(make_service(true))
    {
        for (std::size_t n = 0; n < 52; ++n)
        {
            auto entry = make_entry(n);
            entry.zone = kernel::zone_id("z");
            records.push_back(std::make_shared<endpoint_record>(entry, n));
            set_speed(n, is_fast(n) ? 1.7 : 0.7);
        }
    }

    static bool is_fast(std::size_t n) { return n % 3 == 2; }

    void set_speed(std::size_t n, double factor)
    {
        auto& speed = records[n]->speed();
        speed.enable();
        for (std::uint64_t source = 1; source <= 30; ++source)
            speed.on_shared(source, factor, start);
        speed.refresh(1, start);
    }

    std::size_t choose(endpoint_requirements requirements,
                       bool send = true) const
    {
        requirements.due = start + requirements.target_latency;
        auto const choice =
            chooser.choose(records, target, requirements, weights, start);
        REQUIRE(choice);
        if (send)
            choice->endpoint->on_sent(choice->footprint, start);
        return static_cast<std::size_t>(
            std::find(records.begin(), records.end(), choice->endpoint) -
            records.begin());
    }

    /// The home of a prefix while all endpoints are idle.
    std::size_t home(std::uint64_t prefix) const
    {
        endpoint_requirements requirements = make_requirements(1, 5000, 1000);
        requirements.prompt->parts[0].id = "p" + std::to_string(prefix);
        auto const choice =
            chooser.choose(records, target, requirements, weights, start);
        REQUIRE(choice);
        return choice->endpoint->entry().port - 1000U;
    }

    endpoint_chooser chooser;
    weights_view weights;
    service target;
    std::vector<std::shared_ptr<endpoint_record>> records;
};

} // namespace

// Guards against slow engines that are the home of as many prefixes as fast
// ones.
TEST_CASE("endpoints are homes of prefixes in proportion to their speed")
{
    speeds_fixture fixture;
    int fast = 0;
    std::vector<std::size_t> homes;
    for (std::uint64_t n = 0; n < 2000; ++n)
    {
        homes.push_back(fixture.home(n));
        fast += speeds_fixture::is_fast(homes.back()) ? 1 : 0;
    }
    // 17 engines of 1.7 and 35 of 0.7 times the usual speed.
    CHECK(fast > 2000 * 0.48);
    CHECK(fast < 2000 * 0.60);
    // Only homes of the changed endpoint move.
    fixture.set_speed(2, 0.7);
    int moved = 0;
    for (std::uint64_t n = 0; n < 2000; ++n)
    {
        auto const home = fixture.home(n);
        if (home == homes[n])
            continue;
        ++moved;
        CHECK(homes[n] == 2);
    }
    CHECK(moved > 0);
}

// Load pattern: long prompts that reach their target at fast engines only.
// Guards against the home of a prefix, or one of three sampled engines, at
// which they are certainly late.
TEST_CASE("long prompts go to the engines at which they are in time")
{
    std::vector<int> requests(52);
    for (std::uint64_t n = 0; n < 200; ++n)
    {
        speeds_fixture const fixture;
        auto requirements = make_requirements(n, 5382, 49218);
        requirements.target_latency = milliseconds(1000);
        auto const chosen = fixture.choose(requirements);
        CHECK(speeds_fixture::is_fast(chosen));
        ++requests[chosen];
    }
    // 17 engines are fast.
    CHECK(*std::max_element(requests.begin(), requests.end()) <= 36);
}

// Guards against the idle home of a prefix, at which a long prompt is late,
// while busier engines elsewhere are fast enough.
TEST_CASE("being late costs more than computing a prefix away from its home")
{
    int slow_homes = 0;
    for (std::uint64_t n = 0; n < 40; ++n)
    {
        speeds_fixture const fixture;
        for (std::size_t k = 2; k < 52; k += 3)
        {
            wire::engine_state state;
            state.endpoint_incarnation = 1;
            state.weights = {{model, 1}};
            state.running = state.unanswered = 6;
            fixture.records[k]->on_state(state, start);
        }
        auto requirements = make_requirements(n, 5000, 30000);
        // Without a target only the time and the prefix count.
        auto const home = fixture.choose(requirements, false);
        requirements.target_latency = milliseconds(1000);
        if (speeds_fixture::is_fast(home))
            continue;
        ++slow_homes;
        CHECK(speeds_fixture::is_fast(fixture.choose(requirements)));
    }
    CHECK(slow_homes > 10);
}

// Guards against fast engines that are taken up by prompts that are in time
// anywhere.
TEST_CASE("short prompts leave fast engines to long ones")
{
    int fast = 0;
    for (std::uint64_t n = 0; n < 200; ++n)
    {
        speeds_fixture const fixture;
        auto requirements = make_requirements(n, 0, 1800);
        requirements.prompt->parts.clear();
        requirements.target_latency = milliseconds(500);
        fast += speeds_fixture::is_fast(fixture.choose(requirements)) ? 1 : 0;
    }
    CHECK(fast < 200 * 0.45);
}

// Load pattern: 28 routers with the same reports, 200 ms old, a few idle
// engines and 56 long prompts until the next report. Guards against a herd on
// the best engine.
TEST_CASE("routers with the same reports do not all choose the same engine")
{
    std::vector<int> requests(52);
    for (std::uint64_t router = 0; router < 28; ++router)
    {
        speeds_fixture const fixture;
        for (std::size_t n = 0; n < 52; ++n)
        {
            wire::engine_state state;
            state.endpoint_incarnation = 1;
            state.weights = {{model, 1}};
            auto const idle = speeds_fixture::is_fast(n) && n < 24;
            state.running = state.unanswered = idle ? 0 : 20;
            fixture.records[n]->on_state(state, start);
        }
        for (std::uint64_t n = 0; n < 2; ++n)
        {
            auto requirements = make_requirements(router * 2 + n, 0, 15000);
            requirements.prompt->parts.clear();
            requirements.target_latency = milliseconds(1000);
            auto const chosen = fixture.choose(requirements);
            CHECK((speeds_fixture::is_fast(chosen) && chosen < 24));
            ++requests[chosen];
        }
    }
    // Seven for each of the eight idle engines on average.
    CHECK(*std::max_element(requests.begin(), requests.end()) <= 14);
}

} // namespace endiveward::gateway
