#include "agent/internal/kv_copier.hpp"

#include "kernel/manual_clock.hpp"

#include <catch2/catch.hpp>

#include <map>
#include <optional>

namespace endiveward::agent
{

namespace
{

using namespace std::chrono_literals;

placement::cache_namespace make_space(char const* workspace,
                                      char const* version)
{
    return {kernel::workspace_id(workspace), kernel::model_id("m"),
            kernel::model_version(version), ""};
}

/// Answers when the test says so.
class fake_kv_endpoint : public i_kv_endpoint
{
public:
    void export_block(placement::cache_namespace const&,
                      kernel::hash128 const& block,
                      handler<std::string> on_done) override
    {
        ++exports;
        tasks.emplace_back(
            [this, block, on_done]
            {
                auto const it = blocks.find(block.low);
                if (it != blocks.end())
                    return on_done(it->second);
                on_done(kernel::error{kernel::error_kind::connection_lost,
                                      "not cached",
                                      kernel::run_state::unknown,
                                      {}});
            });
    }
    void import_block(placement::cache_namespace const&,
                      kernel::hash128 const& block, std::string bytes,
                      handler<kernel::done> on_done) override
    {
        blocks[block.low] = std::move(bytes);
        tasks.emplace_back([on_done] { on_done(kernel::done{}); });
    }
    void run_one()
    {
        auto const task = std::move(tasks.at(0));
        tasks.erase(tasks.begin());
        task();
    }

    std::map<std::uint64_t, std::string> blocks;
    std::vector<std::function<void()>> tasks;
    int exports = 0;
};

struct copier_fixture
{
    void copy(placement::cache_namespace const& request)
    {
        kv_manifest const manifest{make_space("w", "1"),
                                   {{1, 1}, {1, 2}, {1, 3}}};
        kv_copier(clock, 100ms)
            .copy(manifest, request, clock->now() + 1s, source, target,
                  [this](kernel::result<std::size_t> res)
                  { result = std::move(res); });
    }
    void run_all()
    {
        while (!result)
            (source->tasks.empty() ? target : source)->run_one();
    }

    std::shared_ptr<kernel::manual_clock> clock =
        std::make_shared<kernel::manual_clock>();
    std::shared_ptr<fake_kv_endpoint> source =
        std::make_shared<fake_kv_endpoint>();
    std::shared_ptr<fake_kv_endpoint> target =
        std::make_shared<fake_kv_endpoint>();
    std::optional<kernel::result<std::size_t>> result;
};

} // namespace

// Guards against a copy that is incomplete or out of order.
TEST_CASE_METHOD(copier_fixture, "the blocks of a prefix are copied")
{
    source->blocks = {{1, "a"}, {2, "b"}, {3, "c"}};
    copy(make_space("w", "1"));
    run_all();
    CHECK(kernel::value(*result) == 3);
    CHECK(target->blocks == source->blocks);
}

// Guards against KV cache of another workspace or of older weights.
TEST_CASE_METHOD(copier_fixture, "another namespace is not copied")
{
    source->blocks = {{1, "a"}};
    SECTION("workspace")
    {
        copy(make_space("x", "1"));
    }
    SECTION("weights version")
    {
        copy(make_space("w", "2"));
    }
    REQUIRE(result);
    CHECK_FALSE(kernel::ok(*result));
    CHECK(source->exports == 0);
    CHECK(target->blocks.empty());
}

// Guards against blocks that the engine cannot use because one before them is
// missing.
TEST_CASE_METHOD(copier_fixture, "a missing block ends the copy")
{
    source->blocks = {{1, "a"}, {3, "c"}};
    copy(make_space("w", "1"));
    run_all();
    CHECK(kernel::value(*result) == 1);
    CHECK(source->exports == 2);
    CHECK(target->blocks.size() == 1);
}

// Guards against a copy that makes its request miss the deadline.
TEST_CASE_METHOD(copier_fixture, "no block is copied when the time is over")
{
    source->blocks = {{1, "a"}, {2, "b"}, {3, "c"}};
    SECTION("before the copy")
    {
        kv_copier(clock, 100ms)
            .copy({make_space("w", "1"), {{1, 1}}}, make_space("w", "1"),
                  clock->now() + 100ms, source, target,
                  [this](kernel::result<std::size_t> res)
                  { result = std::move(res); });
        REQUIRE(result);
        CHECK(kernel::value(*result) == 0);
        CHECK(source->exports == 0);
    }
    SECTION("while a block is exported")
    {
        copy(make_space("w", "1"));
        clock->advance(900ms);
        run_all();
        CHECK(kernel::value(*result) == 0);
        CHECK(target->blocks.empty());
    }
}

} // namespace endiveward::agent
