#include "gateway/prompt_mix.hpp"

#include "gateway/endpoint_chooser.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/prompt_mix_setting.hpp"
#include "gateway/weights_view.hpp"

#include <catch2/catch.hpp>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>
#include <xxhash.h>

#include <algorithm>
#include <random>
#include <set>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

kernel::model_id const model("m");
kernel::zone_id const near_zone("near");
constexpr kernel::steady_time start{std::chrono::seconds(100)};
constexpr std::uint32_t long_prompt = 20000;
constexpr std::uint32_t short_prompt = 1800;

placement_settings settings_with(prompt_mix_mode mode)
{
    placement_settings res;
    res.prompt_mix = mode;
    return res;
}

struct mix_fixture
{
    explicit mix_fixture(std::size_t n,
                         prompt_mix_mode mode = prompt_mix_mode::on)
        : mix(settings_with(mode))
        , chooser(settings_with(mode), near_zone)
        , weights({}, std::chrono::seconds(10))
    {
        target.id = kernel::service_id("s");
        target.engine = engine_properties{64, 200000, 18432};
        for (std::size_t k = 0; k < n; ++k)
        {
            endpoint_entry entry;
            entry.id = kernel::endpoint_id("e" + std::to_string(k));
            entry.service = target.id;
            entry.host = "127.0.0.1";
            entry.port = static_cast<std::uint16_t>(1000 + k);
            entry.zone = near_zone;
            entry.slots = 64;
            entry.incarnation = 1;
            entry.models = {{model, 1}};
            records.push_back(std::make_shared<endpoint_record>(entry));
            report(k, 0);
        }
    }

    void report(std::size_t k, std::uint32_t unanswered) const
    {
        wire::engine_state state;
        state.endpoint_incarnation = 1;
        state.weights = {{model, 1}};
        state.unanswered = unanswered;
        state.running = unanswered;
        records[k]->on_state(state, start);
    }

    /// Of a session that shares 568 tokens.
    static endpoint_requirements make_request(std::uint32_t own_tokens,
                                              std::string const& session = "s",
                                              std::uint64_t seed = 1)
    {
        endpoint_requirements res;
        res.service = kernel::service_id("s");
        res.seed = seed;
        res.prompt = prompt_info{model,
                                 {{session, 568}, {"own", own_tokens}},
                                 568 + own_tokens,
                                 300};
        return res;
    }

    std::set<std::string> long_share(kernel::steady_time now = start) const
    {
        std::set<std::string> res;
        auto const plan =
            mix.make_plan(records, make_request(long_prompt), now);
        REQUIRE(plan);
        for (auto const* it : plan->long_share)
            res.insert(it->entry().id.str());
        return res;
    }

    std::shared_ptr<endpoint_record>
    choose(endpoint_requirements const& requirements) const
    {
        auto const res =
            chooser.choose(records, target, requirements, weights, start);
        REQUIRE(res);
        return res->endpoint;
    }

    /// Sends 50 prompts.
    void send(std::uint32_t tokens, bool is_long) const
    {
        constexpr int requests = 50;
        for (int n = 0; n < requests; ++n)
        {
            auto const& to =
                records[static_cast<std::size_t>(n) % records.size()];
            request_footprint const footprint{tokens, tokens, is_long};
            to->on_sent(footprint, start);
            to->on_finished(footprint, false);
        }
    }

    prompt_mix mix;
    endpoint_chooser chooser;
    weights_view weights;
    service target;
    std::vector<std::shared_ptr<endpoint_record>> records;
};

/// A value that depends on all choices for random requests at random loads.
std::uint64_t digest_of_choices(prompt_mix_mode mode, bool contended)
{
    constexpr std::size_t endpoints = 24;
    constexpr int requests = 1500;
    mix_fixture fixture(endpoints, mode);
    std::mt19937 random(7);
    std::uint64_t res = 0;
    auto const salt = make_cache_salt("", model, 1);
    for (int n = 0; n < requests; ++n)
    {
        // One draw a statement: compilers differ in the order in which they
        // evaluate arguments.
        auto const seed = random();
        auto const session = "s" + std::to_string(random() % 30);
        auto const is_long = random() % 8 == 0;
        auto const tokens = is_long ? 6000 + random() % 40000 : random() % 4000;
        auto request = mix_fixture::make_request(tokens, session, seed);
        request.contended = contended;
        auto const unanswered = random() % 6;
        auto const reporting = random() % endpoints;
        fixture.report(reporting, unanswered);
        if (random() % 4 == 0)
            request.max_wait = milliseconds(150);
        if (random() % 3 == 0)
            fixture.records[random() % endpoints]->cache().report(
                part_key(salt, request.prompt->parts.front().id), 568);
        auto const choice = fixture.chooser.choose(
            fixture.records, fixture.target, request, fixture.weights, start);
        if (!choice)
            continue;
        auto const text = choice->endpoint->entry().id.str() +
                          choice->kv.source +
                          std::to_string(choice->wait.count()) + "." +
                          std::to_string(choice->time_to_first_byte.count());
        res = XXH3_64bits_withSeed(text.data(), text.size(), res);
        choice->endpoint->on_sent(choice->footprint, start);
        if (random() % 8 != 0)
            choice->endpoint->on_finished(choice->footprint, false);
    }
    return res;
}

} // namespace

// Guards against a change of placement where the setting is not used. The value
// was computed by the version before `prompt_mix`.
TEST_CASE("without the prompt mix, choices are as before it existed")
{
    constexpr std::uint64_t before = 8450653688225276823U;
    CHECK(digest_of_choices(prompt_mix_mode::off, false) == before);
    CHECK(digest_of_choices(prompt_mix_mode::off, true) == before);
    CHECK(digest_of_choices(prompt_mix_mode::automatic, false) == before);
    CHECK(digest_of_choices(prompt_mix_mode::automatic, true) != before);
    CHECK(digest_of_choices(prompt_mix_mode::on, false) ==
          digest_of_choices(prompt_mix_mode::automatic, true));
}

// Load pattern: 28 routers that learn of each other's requests after 200 ms.
// Only endpoints that all of them agree on keep long prompts from short ones.
TEST_CASE("long and short prompts of all routers use different endpoints")
{
    mix_fixture fixture(52);
    auto const share = fixture.long_share();
    CHECK(share.size() == 11);
    for (std::uint64_t seed = 0; seed < 100; ++seed)
    {
        auto const session = "s" + std::to_string(seed);
        CHECK(share.contains(
            fixture
                .choose(mix_fixture::make_request(long_prompt, session, seed))
                ->entry()
                .id.str()));
        CHECK_FALSE(share.contains(
            fixture
                .choose(mix_fixture::make_request(short_prompt, session, seed))
                ->entry()
                .id.str()));
    }
}

// Guards against long prompts that wait, or are refused, while endpoints for
// short ones are idle, and the reverse.
TEST_CASE("prompts of one kind use idle endpoints of the other")
{
    auto const is_long = GENERATE(false, true);
    mix_fixture fixture(12);
    auto const share = fixture.long_share();
    auto const request =
        mix_fixture::make_request(is_long ? long_prompt : short_prompt);
    for (auto const& it : fixture.records)
    {
        if (share.contains(it->entry().id.str()) == is_long)
            it->on_sent({100000, 100000}, start);
    }
    CHECK(share.contains(fixture.choose(request)->entry().id.str()) != is_long);
}

// Guards against a share that moves to other endpoints when one leaves or when
// the demand changes: routers that learn of it at different times would
// disagree about all of them.
TEST_CASE("a share that changes keeps its members")
{
    mix_fixture fixture(52);
    auto const before = fixture.long_share();
    SECTION("endpoints leave")
    {
        for (std::size_t k = 0; k < fixture.records.size(); k += 2)
            fixture.records[k]->on_leaving();
        auto const after = fixture.long_share();
        CHECK(after.size() == 5);
        for (auto const& it : fixture.records)
        {
            auto const& id = it->entry().id.str();
            if (it->leaving())
                CHECK_FALSE(after.contains(id));
        }
        auto const stay = std::count_if(after.begin(), after.end(),
                                        [&](std::string const& id)
                                        { return before.contains(id); });
        auto const left = std::count_if(before.begin(), before.end(),
                                        [&](std::string const& id)
                                        { return !after.contains(id); });
        CHECK(stay >=
              std::min<std::ptrdiff_t>(
                  5, static_cast<std::ptrdiff_t>(before.size()) - left));
    }
    SECTION("more long prompts")
    {
        fixture.send(long_prompt / 10, true);
        auto const after = fixture.long_share();
        CHECK(after.size() > before.size());
        CHECK(std::includes(after.begin(), after.end(), before.begin(),
                            before.end()));
    }
    SECTION("more short prompts")
    {
        fixture.send(short_prompt * 10, false);
        auto const after = fixture.long_share();
        CHECK(after.size() < before.size());
        CHECK(std::includes(before.begin(), before.end(), after.begin(),
                            after.end()));
    }
}

TEST_CASE("with long prompts only, and with one endpoint, there is no share")
{
    mix_fixture fixture(52);
    for (int n = 0; n < 5; ++n)
        fixture.send(long_prompt, true);
    CHECK(fixture.long_share().empty());
    // What was sent long ago no longer counts.
    CHECK(fixture.long_share(start + std::chrono::minutes(10)).size() == 11);
    CHECK(mix_fixture(1).long_share().empty());
}

// Load pattern: the home of a prefix of 568 tokens has 250 ms of work. A short
// prompt waited there, since leaving cost 400 ms for 13 ms of prefill. One that
// shares 5,382 tokens still waits.
TEST_CASE("a short prefix leaves a busy home sooner than a long one")
{
    auto const shared = GENERATE(568U, 5382U);
    for (auto const mode : {prompt_mix_mode::off, prompt_mix_mode::on})
    {
        mix_fixture fixture(24, mode);
        auto request = mix_fixture::make_request(short_prompt, "session");
        request.prompt->parts.front().tokens = shared;
        request.prompt->prompt_tokens = shared + short_prompt;
        auto const home = fixture.choose(request);
        home->on_sent({9000, 9000}, start);
        auto const leaves = fixture.choose(request) != home;
        CAPTURE(shared, mode == prompt_mix_mode::on);
        CHECK(leaves == (mode == prompt_mix_mode::on && shared == 568));
    }
}

TEST_CASE("requests without a prompt are placed without regard to the mix")
{
    mix_fixture const fixture(4);
    endpoint_requirements const requirements;
    CHECK_FALSE(fixture.mix.make_plan(fixture.records, requirements, start));
}

// Guards against a log and metrics that do not tell whether the mix works.
TEST_CASE("log and metrics tell where a prompt was placed")
{
    mix_fixture fixture(12);
    auto const share = fixture.long_share();
    auto const is_long = GENERATE(false, true);
    auto const request =
        mix_fixture::make_request(is_long ? long_prompt : short_prompt);
    auto const placement_of = [&]
    {
        return fixture.chooser
            .choose(fixture.records, fixture.target, request, fixture.weights,
                    start)
            ->mix;
    };
    CHECK(placement_of() == (is_long ? "long" : "short"));
    prometheus::Registry registry;
    gateway_metrics metrics(registry);
    metrics.on_mixed(placement_of());
    metrics.on_first_byte(milliseconds(900), is_long);
    prometheus::TextSerializer const serializer;
    auto const text = serializer.Serialize(registry.Collect());
    CHECK_THAT(text,
               Catch::Contains(
                   is_long ? "mixed_prompts_total{placement=\"long\"} 1"
                           : "mixed_prompts_total{placement=\"short\"} 1"));
    CHECK_THAT(text, Catch::Contains(
                         is_long ? "long_prompt_first_byte_seconds_count 1"
                                 : "long_prompt_first_byte_seconds_count 0"));
    constexpr std::uint32_t busy = 20;
    for (std::size_t k = 0; k < fixture.records.size(); ++k)
    {
        auto const& id = fixture.records[k]->entry().id.str();
        if (share.contains(id) == is_long)
            fixture.report(k, busy);
    }
    CHECK(placement_of() == (is_long ? "long_outside" : "short_inside"));
}

TEST_CASE("the setting of the prompt mix is on, off or auto")
{
    CHECK(kernel::value(parse_prompt_mix("")) == prompt_mix_mode::off);
    CHECK(kernel::value(parse_prompt_mix("off")) == prompt_mix_mode::off);
    CHECK(kernel::value(parse_prompt_mix("on")) == prompt_mix_mode::on);
    CHECK(kernel::value(parse_prompt_mix("auto")) ==
          prompt_mix_mode::automatic);
    auto const* const text = GENERATE("On", "1", " on", "automatic");
    auto const res = parse_prompt_mix(text);
    REQUIRE_FALSE(kernel::ok(res));
    CHECK(kernel::failure(res).message ==
          "\"" + std::string(text) + "\" is none of on, off and auto");
}

} // namespace endiveward::gateway
