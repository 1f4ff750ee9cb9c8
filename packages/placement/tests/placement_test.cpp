#include "kernel/manual_clock.hpp"
#include "placement/cache_namespace.hpp"
#include "placement/placement.hpp"
#include "placement/prefix_levels.hpp"
#include "placement/types/endpoint_status.hpp"
#include "placement/types/placement_choice.hpp"
#include "placement/types/placement_request.hpp"
#include "wire/types/verdict.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <unordered_map>
#include <unordered_set>

namespace endiveward::placement
{

namespace
{

using namespace std::chrono_literals;

kernel::model_id const model("m");
kernel::model_version const version("1");

kernel::endpoint_id endpoint(int i)
{
    return kernel::endpoint_id("e" + std::to_string(i));
}

wire::load_report idle(kernel::incarnation engine = 1)
{
    wire::load_report load;
    load.agent_incarnation = 1;
    load.engine_incarnation = engine;
    load.capacity = 8;
    load.models = {{model, version}};
    return load;
}

wire::load_report busy(std::chrono::milliseconds wait)
{
    wire::load_report load = idle();
    load.running = load.capacity;
    load.queued = 4;
    load.queue_wait = wait;
    return load;
}

endpoint_status status(int i, std::string const& region = "here")
{
    return {endpoint(i), kernel::region_id(region), kernel::zone_id("z"), true,
            idle()};
}

struct fixture
{
    explicit fixture(int endpoints, placement_options options = {})
        : sut(clock, kernel::region_id("here"), options)
    {
        auto ids = std::make_shared<std::vector<kernel::endpoint_id>>();
        for (int i = 0; i < endpoints; ++i)
        {
            ids->push_back(endpoint(i));
            sut.update_endpoint(status(i));
        }
        allowed = ids;
    }

    placement_request request(std::vector<std::string> const& texts,
                              std::string const& workspace = "w") const
    {
        cache_namespace const ns(kernel::workspace_id(workspace), model,
                                 version, "");
        std::vector<std::string_view> const parts(texts.begin(), texts.end());
        placement_request made;
        made.allowed = allowed;
        made.model = model;
        made.version = version;
        made.levels = make_prefix_levels(ns, parts);
        for (auto const& it : texts)
            made.prompt_bytes += it.size();
        return made;
    }

    placement_choice choose(placement_request const& request)
    {
        auto const res = sut.choose(request);
        REQUIRE(kernel::ok(res));
        return kernel::value(res);
    }

    kernel::error_kind refusal(placement_request const& request)
    {
        auto const res = sut.choose(request);
        REQUIRE_FALSE(kernel::ok(res));
        return kernel::failure(res).kind;
    }

    /// Simulates a call that the agent accepts and that ends normally.
    void run(placement_request const& request, kernel::endpoint_id const& to,
             std::uint64_t hit_bytes, wire::load_report const& load)
    {
        sut.on_sent(request, to);
        wire::verdict answer;
        answer.hit_bytes = hit_bytes;
        answer.load = load;
        sut.on_verdict(request, to, answer);
        sut.on_finished(request, to, &load);
    }

    std::shared_ptr<kernel::manual_clock> clock =
        std::make_shared<kernel::manual_clock>();
    placement sut;
    std::shared_ptr<std::vector<kernel::endpoint_id> const> allowed;
};

std::string text(char c, std::size_t blocks)
{
    return std::string(blocks * block_bytes, c);
}

// One of the first two endpoints, other than `id`.
kernel::endpoint_id other_than(kernel::endpoint_id const& id)
{
    return id == endpoint(0) ? endpoint(1) : endpoint(0);
}

} // namespace

// Guards against routers that choose different endpoints for the same prefix: a
// restarted router would then lose the benefit of warm caches (G3).
TEST_CASE("routers without a history agree on the endpoint")
{
    fixture left(12);
    fixture right(12);
    for (char c = 'a'; c < 'z'; ++c)
    {
        auto const request = left.request({text('p', 8), text(c, 16)});
        CHECK(left.choose(request).endpoint == right.choose(request).endpoint);
    }
}

// Guards against placing all prompts with the same outer level on one endpoint.
TEST_CASE("prompts that share an outer level spread over endpoints")
{
    placement_options options;
    options.candidates = 8;
    fixture f(12, options);
    std::unordered_set<kernel::endpoint_id> seen;
    for (char c = 'a'; c <= 'z'; ++c)
        seen.insert(f.choose(f.request({text('p', 8), text(c, 16)})).endpoint);
    CHECK(seen.size() > 1);
    CHECK(seen.size() <= 8);
}

// Guards against moving prefixes of the remaining endpoints when one is lost.
TEST_CASE("losing an endpoint moves only its own prefixes")
{
    fixture f(12);
    std::map<char, kernel::endpoint_id> before;
    for (char c = 'a'; c <= 'z'; ++c)
        before[c] = f.choose(f.request({text(c, 16)})).endpoint;
    auto unavailable = status(3);
    unavailable.available = false;
    f.sut.update_endpoint(unavailable);
    for (auto const& [c, id] : before)
    {
        auto const now = f.choose(f.request({text(c, 16)})).endpoint;
        CHECK(now != endpoint(3));
        if (id != endpoint(3))
            CHECK(now == id);
    }
}

// Guards against sending calls to an endpoint that is draining, leaving or
// removed (G7).
TEST_CASE("draining, leaving and removed endpoints are never chosen")
{
    fixture f(2);
    auto const request = f.request({text('a', 16)});
    auto const first = f.choose(request).endpoint;
    int const i = first == endpoint(0) ? 0 : 1;
    auto const second = other_than(first);

    SECTION("draining by verdict")
    {
        auto load = idle();
        load.draining = true;
        f.run(request, first, 0, load);
    }
    SECTION("draining by the end of a call")
    {
        auto load = idle();
        load.draining = true;
        f.sut.on_sent(request, first);
        f.sut.on_finished(request, first, &load);
    }
    SECTION("a report from before the drain arrives late")
    {
        auto load = idle();
        load.draining = true;
        f.run(request, first, 0, load);
        f.run(request, first, 0, idle());
    }
    SECTION("leaving")
    {
        auto unavailable = status(i);
        unavailable.available = false;
        f.sut.update_endpoint(unavailable);
    }
    SECTION("removed")
    {
        f.sut.remove_endpoint(first);
    }

    for (int n = 0; n < 50; ++n)
        CHECK(f.choose(request).endpoint == second);
    auto keyed = request;
    for (int n = 0; n < 50; ++n)
    {
        keyed.idempotency_key = std::to_string(n);
        CHECK(f.choose(keyed).endpoint == second);
    }
    f.sut.remove_endpoint(second);
    CHECK(f.refusal(request) == kernel::error_kind::no_eligible_endpoint);
}

// Guards against hints that outlive the cache of a crashed engine (G1).
TEST_CASE("hints of an earlier engine incarnation never count")
{
    fixture f(2);
    auto const request = f.request({text('a', 64)});
    auto const preferred = f.choose(request).endpoint;
    auto const other = other_than(preferred);
    f.run(request, other, 0, idle(1));
    f.run(request, other, 64 * block_bytes, idle(1));
    REQUIRE(f.choose(request).endpoint == other);
    REQUIRE(f.sut.hint_count(other) == 1);

    SECTION("the verdict of another call reports the restart")
    {
        f.run(f.request({text('z', 1)}), other, 0, idle(2));
        CHECK(f.sut.hint_count(other) == 1);
    }
    SECTION("membership reports the restart")
    {
        auto restarted = status(other == endpoint(0) ? 0 : 1);
        restarted.load = idle(2);
        f.sut.update_endpoint(restarted);
        CHECK(f.sut.hint_count(other) == 0);
    }
    SECTION("a verdict of the earlier incarnation arrives late")
    {
        f.run(f.request({text('z', 1)}), other, 0, idle(2));
        f.run(request, other, 64 * block_bytes, idle(1));
        CHECK(f.sut.hint_count(other) == 1);
    }
    CHECK(f.choose(request).endpoint == preferred);
}

// Guards against ignoring levels cached through other routers, and against
// counting the reported levels of an earlier engine incarnation (G1).
TEST_CASE("levels reported by the agent count as hints of its engine")
{
    fixture f(2);
    auto const request = f.request({text('a', 64)});
    auto const preferred = f.choose(request).endpoint;
    auto const other = other_than(preferred);
    auto load = idle(1);
    load.recent_levels = request.levels;
    f.run(f.request({text('z', 1)}), other, 0, load);
    CHECK(f.choose(request).endpoint == other);
    f.run(f.request({text('z', 1)}), other, 0, idle(2));
    CHECK(f.choose(request).endpoint == preferred);
    f.run(f.request({text('z', 1)}), other, 0, load);
    CHECK(f.choose(request).endpoint == preferred);
}

// Guards against a restarted router that ignores the recent levels which agents
// report when they connect (G3).
TEST_CASE("the first report of an endpoint adds hints")
{
    fixture f(2);
    auto const request = f.request({text('a', 64)});
    auto const other = other_than(f.choose(request).endpoint);
    f.sut.remove_endpoint(other);
    auto back = status(other == endpoint(0) ? 0 : 1);
    back.load.recent_levels = request.levels;
    f.sut.update_endpoint(back);
    CHECK(f.choose(request).endpoint == other);
}

// Guards against rejecting the reports of an engine after a lost connection,
// during which membership reports its incarnation as unknown.
TEST_CASE("an unknown incarnation does not retire the engine")
{
    fixture f(1);
    auto const request = f.request({text('a', 64)});
    f.run(request, endpoint(0), 0, idle(1));
    auto lost = status(0);
    lost.available = false;
    lost.load = {};
    f.sut.update_endpoint(lost);
    CHECK(f.refusal(request) == kernel::error_kind::no_eligible_endpoint);
    f.sut.update_endpoint(status(0));
    CHECK(f.choose(request).endpoint == endpoint(0));
    CHECK(f.choose(request).expected_hit_bytes == 64 * block_bytes);
}

// Guards against counting cache hits across workspaces (G1).
TEST_CASE("hints of another workspace never count")
{
    fixture f(1);
    auto const mine = f.request({text('a', 64)}, "w");
    auto const theirs = f.request({text('a', 64)}, "x");
    auto const before = f.choose(theirs).expected_hit_bytes;
    f.run(mine, endpoint(0), 0, idle());
    CHECK(f.choose(mine).expected_hit_bytes == 64 * block_bytes);
    CHECK(f.choose(theirs).expected_hit_bytes == before);
}

// Guards against counting cache hits across model versions (G1), and against
// sending calls to an engine that has not loaded the requested version.
TEST_CASE("hints of another model version never count")
{
    fixture f(1);
    auto const old = f.request({text('a', 64)});
    auto newer = old;
    newer.version = kernel::model_version("2");
    cache_namespace const ns(kernel::workspace_id("w"), model, newer.version,
                             "");
    std::string const body = text('a', 64);
    std::vector<std::string_view> const parts{body};
    newer.levels = make_prefix_levels(ns, parts);
    CHECK(f.refusal(newer) == kernel::error_kind::no_eligible_endpoint);

    auto load = idle();
    load.models.push_back({model, newer.version});
    f.run(old, endpoint(0), 0, load);
    CHECK(f.choose(old).expected_hit_bytes == 64 * block_bytes);
    CHECK(f.choose(newer).expected_hit_bytes < 64 * block_bytes);
}

// Guards against router memory that grows with the number of prefixes.
TEST_CASE("hints are bounded and the oldest is evicted first")
{
    placement_options options;
    options.max_hints_per_endpoint = 4;
    fixture f(1, options);
    for (char c = 'a'; c <= 'z'; ++c)
        f.run(f.request({text(c, 4)}), endpoint(0), 0, idle());
    CHECK(f.sut.hint_count(endpoint(0)) == 4);
    CHECK(f.choose(f.request({text('z', 4)})).expected_hit_bytes ==
          4 * block_bytes);
    CHECK(f.choose(f.request({text('a', 4)})).expected_hit_bytes <
          4 * block_bytes);
}

// Guards against hints that remain valid for longer than the engine retains the
// blocks, with a cache that evicts within seconds.
TEST_CASE("misses shorten the retention of hints")
{
    fixture f(1);
    auto const probe = f.request({text('p', 4)});
    for (int i = 0; i < 40; ++i)
    {
        f.run(probe, endpoint(0), 0, idle());
        f.clock->advance(2s);
    }
    CHECK(f.choose(probe).expected_hit_bytes < 4 * block_bytes);
}

// Guards against hints that expire too early because a burst of calls arrives
// before the engine has computed their common prefix, which looks like
// evictions.
TEST_CASE("misses on a prefix that is being computed do not shorten hints")
{
    fixture f(1);
    auto const probe = f.request({text('p', 4)});
    wire::verdict answer;
    answer.load = idle();
    for (int i = 0; i < 40; ++i)
    {
        f.sut.on_sent(probe, endpoint(0));
        f.sut.on_verdict(probe, endpoint(0), answer);
        f.clock->advance(5ms);
    }
    f.clock->advance(10s);
    CHECK(f.choose(probe).expected_hit_bytes == 4 * block_bytes);
}

// Guards against queueing all calls with a hot prefix at one endpoint while
// other endpoints are idle.
TEST_CASE("a hot prefix overflows to another endpoint when its own is busy")
{
    fixture f(12);
    auto const request = f.request({text('a', 64)});
    auto const preferred = f.choose(request).endpoint;
    f.run(request, preferred, 64 * block_bytes, busy(10s));
    auto const next = f.choose(request).endpoint;
    CHECK(next != preferred);
    f.run(request, preferred, 64 * block_bytes, busy(100ms));
    CHECK(f.choose(request).endpoint == preferred);
}

// Guards against a recompute_weight without effect: it is the only setting that
// trades a longer wait against recomputation.
TEST_CASE("recompute_weight trades wait for recomputation")
{
    placement_options latency;
    latency.recompute_weight = 1.0;
    placement_options locality;
    locality.recompute_weight = 8.0;
    fixture low(2, latency);
    fixture high(2, locality);
    auto const request = low.request({text('a', 40)});
    auto const preferred = low.choose(request).endpoint;
    // 40 KiB take about a second to recompute.
    low.run(request, preferred, 40 * block_bytes, busy(3s));
    high.run(request, preferred, 40 * block_bytes, busy(3s));
    CHECK(low.choose(request).endpoint != preferred);
    CHECK(high.choose(request).endpoint == preferred);
}

// Guards against sending a whole burst to one endpoint before its first load
// report arrives.
TEST_CASE("own calls in flight count until the agent reports them")
{
    fixture f(2);
    auto const request = f.request({text('a', 1)});
    std::unordered_map<kernel::endpoint_id, int> sent;
    for (int i = 0; i < 40; ++i)
    {
        auto const to = f.choose(request).endpoint;
        f.sut.on_sent(request, to);
        ++sent[to];
    }
    CHECK(sent[endpoint(0)] >= 8);
    CHECK(sent[endpoint(1)] >= 8);
    // Calls that stay without a verdict, as with a frozen agent, stop counting.
    f.clock->advance(5s);
    CHECK(f.choose(request).expected_wait == 0ms);
}

// Guards against a single old report that diverts traffic indefinitely.
TEST_CASE("a reported wait ages")
{
    fixture f(2);
    auto const request = f.request({text('a', 64)});
    auto const preferred = f.choose(request).endpoint;
    f.run(request, preferred, 64 * block_bytes, busy(10s));
    REQUIRE(f.choose(request).endpoint != preferred);
    f.clock->advance(25s);
    CHECK(f.choose(request).endpoint == preferred);
}

// Guards against sending a retry with an idempotency key to another agent,
// which does not have the answer in memory (docs/design.md, 4.4).
TEST_CASE("calls with one idempotency key keep their endpoint")
{
    fixture f(12);
    auto request = f.request({text('a', 16)});
    request.idempotency_key = "key";
    auto const preferred = f.choose(request).endpoint;
    f.run(request, preferred, 0, busy(60s));
    CHECK(f.choose(request).endpoint == preferred);
    auto other = f.request({text('b', 32)});
    other.idempotency_key = "key";
    CHECK(f.choose(other).endpoint == preferred);

    std::unordered_set<kernel::endpoint_id> seen;
    for (int i = 0; i < 100; ++i)
    {
        request.idempotency_key = std::to_string(i);
        seen.insert(f.choose(request).endpoint);
    }
    CHECK(seen.size() > 6);
}

// Guards against retrying at an endpoint that has already refused the request.
TEST_CASE("excluded endpoints are not chosen again")
{
    fixture f(3);
    auto request = f.request({text('a', 16)});
    std::unordered_set<kernel::endpoint_id> seen;
    for (int i = 0; i < 3; ++i)
    {
        auto const to = f.choose(request).endpoint;
        CHECK(seen.insert(to).second);
        request.excluded.push_back(to);
    }
    CHECK(f.refusal(request) == kernel::error_kind::overloaded);
    auto const res = f.sut.choose(request);
    CHECK(kernel::failure(res).retry_after.has_value());
    CHECK(kernel::failure(res).run == kernel::run_state::not_run);
}

// Guards against retries that cannot meet the deadline and only add load to an
// overloaded system.
TEST_CASE("a refused request does not try endpoints beyond its deadline")
{
    fixture f(2);
    auto request = f.request({text('a', 16)});
    auto const first = f.choose(request).endpoint;
    auto const second = other_than(first);
    f.run(request, second, 0, busy(10s));
    request.time_left = 5s;
    // A first attempt is sent regardless of the expected wait.
    f.run(request, first, 0, busy(20s));
    CHECK(f.choose(request).endpoint == second);
    request.excluded = {first};
    CHECK(f.refusal(request) == kernel::error_kind::overloaded);
    request.time_left = 15s;
    CHECK(f.choose(request).endpoint == second);
}

// Guards against sending calls to another region while the own one can serve
// them.
TEST_CASE("other regions serve only while no local endpoint is available")
{
    fixture f(2);
    f.sut.update_endpoint(status(1, "away"));
    auto request = f.request({text('a', 16)});
    f.run(request, endpoint(0), 0, busy(60s));
    CHECK(f.choose(request).endpoint == endpoint(0));
    // A refusal for overload must not shift the load to another region.
    request.excluded = {endpoint(0)};
    CHECK(f.refusal(request) == kernel::error_kind::overloaded);
    request.excluded.clear();
    auto unavailable = status(0);
    unavailable.available = false;
    f.sut.update_endpoint(unavailable);
    CHECK(f.choose(request).endpoint == endpoint(1));
}

// Guards against choosing endpoints that the configuration does not allow (G7
// and selectors).
TEST_CASE("only allowed endpoints are chosen")
{
    fixture f(12);
    auto request = f.request({text('a', 16)});
    request.allowed = std::make_shared<std::vector<kernel::endpoint_id> const>(
        std::vector{endpoint(5)});
    CHECK(f.choose(request).endpoint == endpoint(5));
    request.allowed = nullptr;
    CHECK(f.refusal(request) == kernel::error_kind::no_eligible_endpoint);
}

// Guards against sending all calls of plain services and with short prompts to
// one endpoint.
TEST_CASE("calls without levels spread over the endpoints")
{
    fixture f(6);
    placement_request request;
    request.allowed = f.allowed;
    std::unordered_map<kernel::endpoint_id, int> sent;
    for (int i = 0; i < 600; ++i)
        ++sent[f.choose(request).endpoint];
    CHECK(sent.size() == 6);
    for (auto const& [id, n] : sent)
        CHECK(n > 50);
}

// Guards against in-flight counts that underflow or leak when a call ends
// without a verdict or after its endpoint was replaced.
TEST_CASE("the end of an unknown call has no effect")
{
    fixture f(1);
    auto const request = f.request({text('a', 16)});
    f.sut.on_finished(request, endpoint(0), nullptr);
    f.sut.on_finished(request, endpoint(7), nullptr);
    f.sut.on_verdict(request, endpoint(7), {});
    for (int i = 0; i < 100; ++i)
    {
        f.sut.on_sent(request, endpoint(0));
        f.sut.on_finished(request, endpoint(0), nullptr);
    }
    CHECK(f.choose(request).expected_wait == 0ms);
}

// Guards against data races between traffic threads and membership. Run it with
// ThreadSanitizer to detect them.
TEST_CASE("placement is safe for concurrent use")
{
    fixture f(12);
    auto const request = f.request({text('a', 16)});
    std::atomic<int> chosen{0};
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int t = 0; t < 4; ++t)
        threads.emplace_back(
            [&]
            {
                for (int i = 0; i < 500; ++i)
                {
                    auto const res = f.sut.choose(request);
                    if (!kernel::ok(res))
                        continue;
                    ++chosen;
                    f.run(request, kernel::value(res).endpoint, 0, idle());
                    f.sut.update_endpoint(status(i % 12));
                }
            });
    for (auto& it : threads)
        it.join();
    CHECK(chosen == 2000);
}

} // namespace endiveward::placement
