#include "placement/cache_namespace.hpp"
#include "placement/prefix_levels.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <string>

namespace endiveward::placement
{

namespace
{

cache_namespace make_namespace(std::string const& workspace = "w",
                               std::string const& version = "1")
{
    return {kernel::workspace_id(workspace), kernel::model_id("m"),
            kernel::model_version(version), ""};
}

} // namespace

// Guards against sharing blocks between workspaces, models, model versions or
// adapters.
TEST_CASE("every field is part of the cache namespace")
{
    kernel::workspace_id const w("w");
    kernel::model_id const m("m");
    kernel::model_version const v("1");
    cache_namespace const base(w, m, v, "");
    CHECK(base == cache_namespace(w, m, v, ""));
    CHECK(base != cache_namespace(kernel::workspace_id("x"), m, v, ""));
    CHECK(base != cache_namespace(w, kernel::model_id("n"), v, ""));
    CHECK(base != cache_namespace(w, m, kernel::model_version("2"), ""));
    CHECK(base != cache_namespace(w, m, v, "a"));
    CHECK(base.salt().size() == 32);
    CHECK(base.salt() == kernel::to_hex(base.hash()));
}

// Guards against equal hashes of namespaces whose fields concatenate to the
// same bytes.
TEST_CASE("bytes that move between fields change the cache namespace")
{
    kernel::model_version const v("1");
    cache_namespace const left(kernel::workspace_id("ab"),
                               kernel::model_id("c"), v, "");
    cache_namespace const right(kernel::workspace_id("a"),
                                kernel::model_id("bc"), v, "");
    CHECK(left != right);
}

// Guards against level hashes that differ from those of the blocks that engines
// cache.
TEST_CASE("a level is the chained hash of the last whole block of a part")
{
    auto const ns = make_namespace();
    std::string const first(1500, 'a');
    std::string const second(600, 'b');
    std::string const text = first + second;
    auto const block_0 = kernel::hash_chained(
        ns.hash(), std::string_view(text).substr(0, block_bytes));
    auto const block_1 = kernel::hash_chained(
        block_0, std::string_view(text).substr(block_bytes, block_bytes));
    std::vector<std::string_view> const parts{first, second};
    auto const levels = make_prefix_levels(ns, parts);
    REQUIRE(levels.size() == 2);
    CHECK(levels[0] == wire::prefix_level{block_0, 1024});
    CHECK(levels[1] == wire::prefix_level{block_1, 2048});
}

// Guards against duplicate or empty levels for parts that do not complete a
// block.
TEST_CASE("a part that completes no block adds no level")
{
    std::string const big(1024, 'a');
    std::string const small(10, 'b');
    std::vector<std::string_view> const parts{small, big, small};
    auto const levels = make_prefix_levels(make_namespace(), parts);
    REQUIRE(levels.size() == 1);
    CHECK(levels[0].bytes == 1024);
    std::vector<std::string_view> const tiny{small};
    CHECK(make_prefix_levels(make_namespace(), tiny).empty());
}

// Guards against cache hits across workspaces or model versions.
TEST_CASE("levels of different namespaces never match")
{
    std::string const text(4096, 'a');
    std::vector<std::string_view> const parts{text};
    auto const base = make_prefix_levels(make_namespace(), parts);
    auto const other = make_prefix_levels(make_namespace("x"), parts);
    auto const newer = make_prefix_levels(make_namespace("w", "2"), parts);
    CHECK(base[0].hash != other[0].hash);
    CHECK(base[0].hash != newer[0].hash);
}

// Guards against dropping the shared outer levels or the deepest levels of a
// long conversation.
TEST_CASE("the outermost and the deepest levels are kept")
{
    std::string const text(1024, 'a');
    std::vector<std::string_view> const parts(20, text);
    auto const levels = make_prefix_levels(make_namespace(), parts);
    REQUIRE(levels.size() == max_prefix_levels);
    CHECK(levels.front().bytes == 1024);
    CHECK(levels[3].bytes == 4 * block_bytes);
    CHECK(levels[4].bytes == 17 * block_bytes);
    CHECK(levels.back().bytes == 20 * block_bytes);
}

// Guards against a deepest level that depends on how the text is split into
// parts.
TEST_CASE("the deepest level depends only on the concatenated text")
{
    // RapidCheck reads its seed from the environment at the first check.
    ::setenv("RC_PARAMS", "seed=1", 0); // NOLINT(concurrency-mt-unsafe)
    CHECK(rc::check(
        [](std::vector<std::string> const& strings)
        {
            std::string text;
            std::vector<std::string> pieces;
            for (auto const& it : strings)
            {
                pieces.push_back(it);
                for (int i = 0; i < 7 && !it.empty(); ++i)
                    pieces.back() += pieces.back();
                text += pieces.back();
            }
            std::vector<std::string_view> const parts(pieces.begin(),
                                                      pieces.end());
            std::vector<std::string_view> const whole{text};
            auto const split_levels =
                make_prefix_levels(make_namespace(), parts);
            auto const whole_levels =
                make_prefix_levels(make_namespace(), whole);
            RC_ASSERT(split_levels.empty() == whole_levels.empty());
            if (!split_levels.empty())
                RC_ASSERT(split_levels.back() == whole_levels.back());
            RC_ASSERT(std::is_sorted(split_levels.begin(), split_levels.end(),
                                     [](auto const& lhs, auto const& rhs)
                                     { return lhs.bytes < rhs.bytes; }));
        }));
}

} // namespace endiveward::placement
