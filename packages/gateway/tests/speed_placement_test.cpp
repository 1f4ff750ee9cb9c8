#include "gateway/endpoint_chooser.hpp"
#include "gateway/weights_view.hpp"

#include <catch2/catch.hpp>
#include <xxhash.h>

#include <cmath>
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

} // namespace endiveward::gateway
