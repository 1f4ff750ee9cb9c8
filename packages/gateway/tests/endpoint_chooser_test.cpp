#include "gateway/endpoint_chooser.hpp"
#include "gateway/weights_view.hpp"

#include <catch2/catch.hpp>

#include <map>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

kernel::model_id const model("m");
kernel::zone_id const near_zone("near");
kernel::steady_time const start{std::chrono::seconds(100)};

struct chooser_fixture
{
    explicit chooser_fixture(std::size_t n)
        : chooser({}, near_zone)
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
            wire::engine_state state;
            state.endpoint_incarnation = 1;
            state.weights = {{model, 1}};
            records.back()->on_state(state, start);
        }
    }

    static endpoint_requirements make_requirements(std::string const& session,
                                                   std::uint64_t seed)
    {
        endpoint_requirements res;
        res.service = kernel::service_id("s");
        res.seed = seed;
        res.prompt =
            prompt_info{model,
                        {{"policy", 500}, {session, 5000}, {"own", 6000}},
                        11500,
                        300};
        return res;
    }

    std::optional<placement_choice>
    choose(endpoint_requirements const& requirements) const
    {
        return chooser.choose(records, target, requirements, weights, start);
    }

    endpoint_chooser chooser;
    weights_view weights;
    service target;
    std::vector<std::shared_ptr<endpoint_record>> records;
};

} // namespace

// Load pattern: requests of one session arrive through different routers before
// any cache report. Unless all routers choose the same endpoint, the prefix is
// computed several times.
TEST_CASE("requests of a session are sent to the same endpoint")
{
    chooser_fixture fixture(12);
    std::map<std::string, int> requests_by_endpoint;
    for (std::uint64_t n = 0; n < 20; ++n)
        ++requests_by_endpoint
            [fixture.choose(chooser_fixture::make_requirements("file1", n))
                 ->endpoint->entry()
                 .id.str()];
    CHECK(requests_by_endpoint.size() == 1);
}

TEST_CASE("sessions are spread over the endpoints")
{
    chooser_fixture fixture(12);
    std::map<std::string, int> requests_by_endpoint;
    for (std::uint64_t n = 0; n < 240; ++n)
        ++requests_by_endpoint[fixture
                                   .choose(chooser_fixture::make_requirements(
                                       "file" + std::to_string(n), n))
                                   ->endpoint->entry()
                                   .id.str()];
    CHECK(requests_by_endpoint.size() == 12);
}

// Load pattern: a hot session. Its endpoint has more prompt tokens queued than
// others, so that fetching the prefix to another endpoint is cheaper than
// waiting.
TEST_CASE("an overloaded home is avoided and serves as source of the prefix")
{
    chooser_fixture fixture(12);
    auto const requirements = chooser_fixture::make_requirements("hot", 1);
    auto const home = fixture.choose(requirements)->endpoint;
    auto const salt = make_cache_salt("", model, 1);
    for (auto const& it : prefix_levels(*requirements.prompt, salt))
        home->cache().report(it.key, it.part_tokens);
    for (int n = 0; n < 10; ++n)
        home->on_sent({11500, 11800}, start);
    auto const other = fixture.choose(requirements);
    REQUIRE(other);
    CHECK(other->endpoint != home);
    CHECK(other->kv.source ==
          "127.0.0.1:" + std::to_string(home->entry().port));
    CHECK(other->reusable_tokens == 11500);
}

// Guards against requests of a session at its home while the home has asked for
// none, and against a prefix that is computed again although the engine still
// serves fetches.
TEST_CASE(
    "the home of a prefix gets no requests while it pauses but serves the "
    "prefix")
{
    chooser_fixture fixture(12);
    auto const requirements = chooser_fixture::make_requirements("hot", 1);
    auto const home = fixture.choose(requirements)->endpoint;
    auto const salt = make_cache_salt("", model, 1);
    for (auto const& it : prefix_levels(*requirements.prompt, salt))
        home->cache().report(it.key, it.part_tokens);
    home->on_pause(start, milliseconds(1000));
    for (std::uint64_t n = 0; n < 20; ++n)
    {
        auto const other =
            fixture.choose(chooser_fixture::make_requirements("hot", n));
        REQUIRE(other);
        CHECK(other->endpoint != home);
        CHECK(other->kv.source ==
              "127.0.0.1:" + std::to_string(home->entry().port));
    }
    home->on_leaving();
    auto const other = fixture.choose(requirements);
    REQUIRE(other);
    // The engine may exit before a fetch has ended.
    CHECK(other->kv.source.empty());
}

// Load pattern: many routers act on the same outdated load reports. If each
// chose the least loaded endpoint of all, they would overload it together.
TEST_CASE("the least loaded endpoint does not take all requests")
{
    chooser_fixture fixture(40);
    for (std::size_t n = 1; n < fixture.records.size(); ++n)
    {
        wire::engine_state state;
        state.endpoint_incarnation = 1;
        state.weights = {{model, 1}};
        state.unanswered = 3;
        fixture.records[n]->on_state(state, start);
    }
    int idle = 0;
    constexpr int requests = 400;
    for (std::uint64_t n = 0; n < requests; ++n)
    {
        auto const choice = fixture.choose(
            chooser_fixture::make_requirements("file" + std::to_string(n), n));
        idle += choice->endpoint == fixture.records[0] ? 1 : 0;
    }
    CHECK(idle < requests / 4);
}

// Guards against avoidable refusals: an engine refuses requests while it loads
// new weights.
TEST_CASE("engines that load new weights are avoided")
{
    chooser_fixture fixture(4);
    for (std::size_t n = 0; n < 3; ++n)
    {
        wire::engine_state state;
        state.endpoint_incarnation = 1;
        state.weights = {{model, 1}};
        state.reloading = true;
        fixture.records[n]->on_state(state, start);
    }
    for (std::uint64_t n = 0; n < 30; ++n)
        CHECK(fixture
                  .choose(chooser_fixture::make_requirements(
                      "f" + std::to_string(n), n))
                  ->endpoint == fixture.records[3]);
}

// Load pattern: the home of a prefix takes one request a second. Requests that
// share the prefix would alternate between it and another endpoint, and both
// would compute the prefix.
TEST_CASE("an endpoint with a limit gets no more than that and is no home")
{
    chooser_fixture fixture(12);
    auto const home =
        fixture.choose(fixture.make_requirements("s1", 1))->endpoint;
    home->limit().on_named(1, start - std::chrono::seconds(5));
    auto const other =
        fixture.choose(fixture.make_requirements("s1", 1))->endpoint;
    CHECK(other != home);
    home->limit().on_sent(start);
    for (std::uint64_t seed = 0; seed < 50; ++seed)
        CHECK(fixture.choose(fixture.make_requirements("s1", seed))->endpoint !=
              home);
    home->limit().reset();
    CHECK(fixture.choose(fixture.make_requirements("s1", 1))->endpoint == home);
}

TEST_CASE("draining and failing endpoints get no requests")
{
    chooser_fixture fixture(2);
    auto entry = fixture.records[0]->entry();
    entry.draining = true;
    fixture.records[0]->update(entry);
    fixture.records[1]->on_no_response(start);
    CHECK_FALSE(fixture.choose(chooser_fixture::make_requirements("f", 1)));
    auto const later = start + std::chrono::seconds(1);
    CHECK(fixture.chooser.choose(fixture.records, fixture.target,
                                 chooser_fixture::make_requirements("f", 1),
                                 fixture.weights, later));
}

// Guards against recomputation of a prefix that a KV cache store could provide.
TEST_CASE("an uncached prefix is fetched from and saved to one store")
{
    chooser_fixture fixture(3);
    auto requirements = chooser_fixture::make_requirements("f", 1);
    std::vector<std::string> const stores{"10.0.0.1:1", "10.0.0.2:1",
                                          "10.0.0.3:1"};
    requirements.kv_stores = stores;
    requirements.prompt->parts.back().tokens = 2000;
    requirements.prompt->prompt_tokens = 7500;
    auto const choice = fixture.choose(requirements);
    CHECK_FALSE(choice->kv.source.empty());
    CHECK(choice->kv.source == choice->kv.target);
    requirements.seed = 2;
    CHECK(fixture.choose(requirements)->kv.target == choice->kv.target);
}

// Guards against KV cache of newer weights under the salt of older ones: a
// request that runs during a load goes on under the newer weights, and may be
// read in again and saved there.
TEST_CASE(
    "no KV cache of weights that are being replaced is taken from a store "
    "or saved there")
{
    chooser_fixture fixture(3);
    auto requirements = chooser_fixture::make_requirements("f", 1);
    std::vector<std::string> const stores{"10.0.0.1:1"};
    requirements.kv_stores = stores;
    requirements.prompt->parts.back().tokens = 2000;
    requirements.prompt->prompt_tokens = 7500;
    REQUIRE(fixture.choose(requirements)->kv.source == stores[0]);
    wire::engine_state state;
    state.endpoint_incarnation = 1;
    state.weights = {{model, 1}};
    auto const& other = *fixture.records[0];
    SECTION("a newer version is named")
    {
        fixture.weights.set_target({model, 2}, {}, start, start);
    }
    SECTION("an endpoint has a newer version, of which this router has not "
            "heard")
    {
        state.weights = {{model, 2}};
        fixture.records[0]->on_state(state, start);
        requirements.excluded = {other.entry().id};
    }
    SECTION("two newer versions are named, one after the other")
    {
        for (auto const& it : fixture.records)
        {
            state.weights = {{model, 2}};
            it->on_state(state, start);
        }
        fixture.weights.set_target({model, 2}, {}, start, start);
        fixture.weights.set_target({model, 3}, {}, start, start);
    }
    auto const choice = fixture.choose(requirements);
    REQUIRE(choice);
    CHECK(choice->kv.source.empty());
    CHECK(choice->kv.target.empty());
}

// Guards against the same from an endpoint that loads newer weights, and
// against prefixes that are computed again although another endpoint has them
// and keeps its weights for now.
TEST_CASE("an endpoint that may have loaded newer weights by then is no source "
          "of KV cache")
{
    chooser_fixture fixture(3);
    auto requirements = chooser_fixture::make_requirements("f", 1);
    auto const home = fixture.choose(requirements)->endpoint;
    auto const salt = make_cache_salt("", model, 1);
    for (auto const& it : prefix_levels(*requirements.prompt, salt))
        home->cache().report(it.key, it.part_tokens);
    requirements.excluded = {home->entry().id};
    auto const address = "127.0.0.1:" + std::to_string(home->entry().port);
    REQUIRE(fixture.choose(requirements)->kv.source == address);
    auto const wait = [&](std::uint32_t tokens)
    {
        for (auto const& it : fixture.records)
            it->on_sent({tokens, tokens}, start);
    };
    wire::engine_state state;
    state.endpoint_incarnation = 1;
    state.weights = {{model, 1}};
    auto is_source = false;
    SECTION("it keeps its weights for now")
    {
        is_source = true;
        wait(1000);
    }
    SECTION("the request waits for longer than a load can take")
    {
        wait(100000);
    }
    SECTION("its agent orders the load, and the request waits")
    {
        state.reloading = true;
        home->on_state(state, start);
        wait(5000);
    }
    SECTION("its agent orders the load, and the request begins at once")
    {
        is_source = true;
        state.reloading = true;
        home->on_state(state, start);
    }
    SECTION("it has loaded them")
    {
        state.weights = {{model, 2}};
        home->on_state(state, start);
    }
    SECTION("it is not known what it does")
    {
        home->on_link_lost();
    }
    fixture.weights.set_target({model, 2}, {}, start, start);
    auto const choice = fixture.choose(requirements);
    REQUIRE(choice);
    CHECK(choice->kv.source == (is_source ? address : ""));
}

// Guards against KV cache that is computed again although all endpoints have
// the weights that were named.
TEST_CASE("KV cache is exchanged again once the newer weights are loaded")
{
    chooser_fixture fixture(3);
    auto requirements = chooser_fixture::make_requirements("f", 1);
    std::vector<std::string> const stores{"10.0.0.1:1"};
    requirements.kv_stores = stores;
    requirements.prompt->parts.back().tokens = 2000;
    requirements.prompt->prompt_tokens = 7500;
    fixture.weights.set_target({model, 2}, {}, start, start);
    REQUIRE(fixture.choose(requirements)->kv.source.empty());
    for (auto const& it : fixture.records)
    {
        wire::engine_state state;
        state.endpoint_incarnation = 1;
        state.weights = {{model, 2}};
        it->on_state(state, start);
    }
    auto const choice = fixture.choose(requirements);
    CHECK(choice->version == 2);
    CHECK(choice->kv.source == stores[0]);
    CHECK(choice->kv.target == stores[0]);
}

// Load pattern: 200 prompts a second of 11,500 tokens, of which 5,500 are
// shared. A save transfers the whole prompt: transfers to and from the six
// stores took 1870 GB in a day, 1270 GB more than without saves of such
// prompts.
TEST_CASE("a prompt that is mostly its own is fetched but not saved")
{
    chooser_fixture fixture(3);
    auto requirements = chooser_fixture::make_requirements("f", 1);
    std::vector<std::string> const stores{"10.0.0.1:1"};
    requirements.kv_stores = stores;
    auto const own = GENERATE(table<std::uint32_t, bool>(
        {{2750, true}, {2751, false}, {6000, false}}));
    requirements.prompt->parts.back().tokens = std::get<0>(own);
    requirements.prompt->prompt_tokens = 5500 + std::get<0>(own);
    auto const choice = fixture.choose(requirements);
    CHECK(choice->kv.source == stores[0]);
    CHECK(choice->kv.target.empty() != std::get<1>(own));
}

// Guards against prefixes that are never saved because all prompts that share
// them are mostly their own.
TEST_CASE("a few prompts that are mostly their own are saved")
{
    chooser_fixture fixture(3);
    auto requirements = chooser_fixture::make_requirements("f", 1);
    std::vector<std::string> const stores{"10.0.0.1:1"};
    requirements.kv_stores = stores;
    int saved = 0;
    for (std::uint64_t seed = 0; seed < 800; ++seed)
    {
        requirements.seed = seed;
        if (!fixture.choose(requirements)->kv.target.empty())
            ++saved;
    }
    CHECK(saved == 100);
}

// Load pattern: the home of a prefix is busy beyond the admission limit while
// other endpoints are idle. Refusing the request would waste free capacity.
TEST_CASE("an idle endpoint is preferred to one with too long a wait")
{
    chooser_fixture fixture(4);
    auto requirements = chooser_fixture::make_requirements("hot", 1);
    // The wait of 230 ms costs less than another endpoint would, but exceeds
    // the limit.
    auto const home = fixture.choose(requirements)->endpoint;
    home->on_sent({10000, 10300}, start);
    CHECK(fixture.choose(requirements)->endpoint == home);
    requirements.max_wait = milliseconds(180);
    auto const idle = fixture.choose(requirements);
    CHECK(idle->endpoint != home);
    CHECK(idle->wait <= requirements.max_wait);
    // Without an idle endpoint the cheapest one is returned, and the caller of
    // `choose` decides whether to refuse the request.
    for (auto const& it : fixture.records)
        it->on_sent({10000, 10300}, start);
    CHECK(fixture.choose(requirements)->wait > requirements.max_wait);
}

// Guards against requests that start on weights which were replaced too long
// ago: an expired version was only more expensive, and was chosen when the
// other engines were loading new weights or did not answer.
TEST_CASE("no request is sent to an engine whose weights have expired")
{
    auto const reloading = GENERATE(false, true);
    CAPTURE(reloading);
    chooser_fixture fixture(2);
    fixture.weights.set_target(
        {model, 2}, {kernel::endpoint_id("e0"), kernel::endpoint_id("e1")},
        start - std::chrono::seconds(9), start);
    wire::engine_state state;
    state.endpoint_incarnation = 1;
    state.weights = {{model, 1}};
    state.reloading = reloading;
    fixture.records[0]->on_state(state, start);
    auto const requirements = chooser_fixture::make_requirements("file1", 1);
    CHECK_FALSE(fixture.choose(requirements));
    // The other engine has loaded the version that was named.
    state.weights = {{model, 2}};
    fixture.records[1]->on_state(state, start);
    auto const choice = fixture.choose(requirements);
    REQUIRE(choice);
    CHECK(choice->endpoint == fixture.records[1]);
    CHECK(choice->version == 2);
}

// Guards against requests that start on weights which were replaced too long
// ago: the limit was compared with the time of sending, but a request starts
// only after its wait in the engine's queue.
TEST_CASE("no request is sent that would start on expired weights")
{
    chooser_fixture fixture(1);
    fixture.weights.set_target({model, 2}, {kernel::endpoint_id("e0")},
                               start - milliseconds(7400), start);
    auto requirements = chooser_fixture::make_requirements("file1", 1);
    requirements.max_wait = milliseconds(9000);
    // Without a queue, the request starts in time.
    REQUIRE(fixture.choose(requirements));
    CHECK(fixture.choose(requirements)->version == 1);
    CHECK(fixture.choose(requirements)->wait < milliseconds(100));
    // With this one, it starts 11 s after version 2 was named.
    for (int n = 0; n < 15; ++n)
        fixture.records[0]->on_sent({11500, 11800}, start);
    auto const choice = fixture.choose(requirements);
    auto const wait = choice ? choice->wait : milliseconds(0);
    CAPTURE(wait.count());
    CHECK_FALSE(choice);
}

// Guards against refusing requests although an engine could take them: the
// sample of endpoints held only engines whose weights had expired.
TEST_CASE("the only engine with usable weights is found")
{
    chooser_fixture fixture(40);
    fixture.weights.set_target({model, 2}, {}, start - std::chrono::seconds(9),
                               start);
    wire::engine_state state;
    state.endpoint_incarnation = 1;
    state.weights = {{model, 2}};
    fixture.records[17]->on_state(state, start);
    for (std::uint64_t n = 0; n < 20; ++n)
    {
        auto const choice =
            fixture.choose(chooser_fixture::make_requirements("file", n));
        REQUIRE(choice);
        CHECK(choice->endpoint == fixture.records[17]);
    }
}

// Load pattern: nearly all engines have queues. Guards against a request that
// is refused for overload although an engine outside its sample is idle.
TEST_CASE("all engines are compared if the sampled ones have no capacity")
{
    chooser_fixture fixture(48);
    for (std::size_t k = 0; k < 48; ++k)
    {
        for (int n = 0; k != 31 && n < 4; ++n)
            fixture.records[k]->on_sent({11500, 11800}, start);
    }
    std::size_t missed = 0;
    for (std::uint64_t n = 0; n < 40; ++n)
    {
        auto requirements =
            chooser_fixture::make_requirements("file" + std::to_string(n), n);
        requirements.max_wait = milliseconds(180);
        auto const sampled = fixture.choose(requirements);
        REQUIRE(sampled);
        missed += sampled->wait > requirements.max_wait ? 1 : 0;
        requirements.compares_all = true;
        auto const choice = fixture.choose(requirements);
        REQUIRE(choice);
        CHECK(choice->endpoint == fixture.records[31]);
    }
    // Without the comparison, most are sent to a queue or refused.
    CHECK(missed > 30);
}

// Load pattern: 28 routers find the same few engines with capacity in the same
// reports. Guards against all of them choosing the same one.
TEST_CASE("routers that find the same idle engines spread over them")
{
    chooser_fixture fixture(48);
    for (std::size_t k = 8; k < 48; ++k)
    {
        for (int n = 0; n < 4; ++n)
            fixture.records[k]->on_sent({11500, 11800}, start);
    }
    std::map<std::string, int> requests_by_endpoint;
    for (std::uint64_t n = 0; n < 800; ++n)
    {
        auto requirements = chooser_fixture::make_requirements("hot", n * 7919);
        requirements.prompt->parts.clear();
        requirements.max_wait = milliseconds(180);
        requirements.compares_all = true;
        auto const choice = fixture.choose(requirements);
        REQUIRE(choice);
        CHECK(choice->wait <= requirements.max_wait);
        ++requests_by_endpoint[choice->endpoint->entry().id.str()];
    }
    CHECK(requests_by_endpoint.size() == 8);
    for (auto const& [id, n] : requests_by_endpoint)
        CHECK(n < 2 * 800 / 8);
}

// Load pattern: engines reject requests for which they have no memory, or crash
// under them. Guards against sending a request where it does not fit.
TEST_CASE("an engine without memory for the request has no capacity")
{
    chooser_fixture fixture(6);
    wire::engine_state state;
    state.endpoint_incarnation = 1;
    state.memory_used = 190000;
    for (std::size_t k = 0; k < 5; ++k)
        fixture.records[k]->on_state(state, start);
    auto requirements = chooser_fixture::make_requirements("file1", 1);
    requirements.max_wait = milliseconds(180);
    requirements.compares_all = true;
    for (std::uint64_t n = 0; n < 20; ++n)
    {
        requirements.seed = n;
        auto const choice = fixture.choose(requirements);
        REQUIRE(choice);
        CHECK(choice->endpoint == fixture.records[5]);
        CHECK(choice->fits_memory);
    }
    fixture.records[5]->on_state(state, start);
    auto const choice = fixture.choose(requirements);
    REQUIRE(choice);
    CHECK_FALSE(choice->fits_memory);
}

// Guards against a prompt that no engine would ever get because of the memory
// that is left for the requests of other routers.
TEST_CASE("a prompt of nearly all memory fits an engine that holds nothing")
{
    chooser_fixture fixture(1);
    auto requirements = chooser_fixture::make_requirements("file1", 1);
    requirements.compares_all = true;
    requirements.prompt->prompt_tokens = 199000;
    auto const choice = fixture.choose(requirements);
    REQUIRE(choice);
    CHECK(choice->fits_memory);
}

} // namespace endiveward::gateway
