#include "gateway/endpoint_chooser.hpp"
#include "gateway/prefix_cache_estimate.hpp"

#include <catch2/catch.hpp>

namespace endiveward::gateway
{

namespace
{

using std::chrono::seconds;

prompt_info const prompt{
    kernel::model_id("m"), {{"a", 100}, {"b", 50}}, 150, 10};
kernel::steady_time const start{seconds(100)};

} // namespace

// Guards against KV cache that is shared between isolated workspaces, models or
// model versions.
TEST_CASE("each group, model and version has a salt of its own")
{
    kernel::model_id const m("m");
    auto const salt = make_cache_salt("w", m, 1);
    CHECK(salt != make_cache_salt("", m, 1));
    CHECK(salt != make_cache_salt("w", m, 2));
    CHECK(salt != make_cache_salt("w", kernel::model_id("n"), 1));
    CHECK(part_key(salt, "a") != part_key(make_cache_salt("w", m, 2), "a"));
}

TEST_CASE("a part counts only if all parts before it are cached")
{
    prefix_cache_estimate estimate;
    auto const levels = prefix_levels(prompt, "s");
    estimate.report(levels[1].key, 50);
    CHECK(estimate.cached_tokens(levels, start) == 0);
    estimate.report(levels[0].key, 64);
    CHECK(estimate.cached_tokens(levels, start) == 64);
    estimate.report(levels[0].key, 100);
    CHECK(estimate.cached_tokens(levels, start) == 150);
    estimate.report(levels[0].key, 0);
    CHECK(estimate.cached_tokens(levels, start) == 0);
}

// Guards against naming an endpoint as source of a prefix long after it has
// evicted the prefix.
TEST_CASE("an expected part that is not confirmed expires")
{
    prefix_cache_estimate estimate;
    auto const levels = prefix_levels(prompt, "s");
    estimate.set_has_reports(true);
    estimate.expect(levels, start);
    CHECK(estimate.cached_tokens(levels, start + seconds(1)) == 150);
    CHECK(estimate.cached_tokens(levels, start + seconds(3)) == 0);
    estimate.set_has_reports(false);
    CHECK(estimate.cached_tokens(levels, start + seconds(3)) == 150);
    estimate.expire(start + seconds(9));
    CHECK(estimate.size() == 0);
}

// Guards against callers that describe prompts by very many small parts, of
// which each is kept for each endpoint.
TEST_CASE("expected and reported parts of an endpoint are limited in number")
{
    constexpr std::uint64_t number = 100'000;
    prefix_cache_estimate estimate;
    for (std::uint64_t n = 0; n < number; ++n)
    {
        estimate.expect({{n, 1, 1}}, start);
        estimate.report(number + n, 1);
    }
    CHECK(estimate.size() <= 8192);
    // Known parts change also if there is no place for new ones.
    estimate.expect({{0, 7, 7}}, start);
    estimate.report(number, 9);
    CHECK(estimate.cached_tokens({{0, 7, 7}}, start) == 7);
    CHECK(estimate.cached_tokens({{number, 9, 9}}, start) == 9);
    estimate.expire(start + seconds(9));
    estimate.expect({{number - 1, 3, 3}}, start + seconds(9));
    CHECK(estimate.cached_tokens({{number - 1, 3, 3}}, start + seconds(9)) ==
          3);
}

} // namespace endiveward::gateway
