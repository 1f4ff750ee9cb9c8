#include "platform/platform_service.hpp"

#include "support/http_client.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

namespace endiveward::stand_ins
{

namespace
{

using nlohmann::json;
using namespace test_support;
using std::chrono::milliseconds;

/// A platform on a free port.
struct running_platform
{
    platform_service service{{milliseconds(0), milliseconds(0), 0, {}}};
    http_server server{"127.0.0.1", 0, [this](auto& req, auto& reply) {
                           service.handle(req, reply);
                       }};

    std::string url(std::string const& path) const
    {
        return fmt::format("http://127.0.0.1:{}{}", server.port(), path);
    }
    http_answer commit(std::string const& key, std::uint64_t version,
                       json const& value) const
    {
        json const body{
            {"conditions", json::array({{{"key", key}, {"version", version}}})},
            {"writes", json::array({{{"key", key}, {"value", value}}})}};
        return post(url("/v1/transactions"), body.dump());
    }
};

} // namespace

// Guards against a partial commit and against versions that are used twice.
TEST_CASE("a transaction takes effect as a whole or not at all")
{
    table_store table;
    CHECK(table.commit({{"a", 0}}, {{"a", "1"}, {"b", "1"}}).empty());
    auto const first = table.read("a")->version;
    CHECK(first == 1);
    CHECK(table.commit({{"a", 0}, {"b", 99}}, {{"c", "1"}}).size() == 2);
    CHECK_FALSE(table.read("c"));
    CHECK(table.commit({{"a", first}}, {{"a", std::nullopt}}).empty());
    CHECK(table.commit({{"a", 0}}, {{"a", "2"}}).empty());
    CHECK(table.read("a")->version > first);
    CHECK(table.scan("a", "", 10).size() == 1);
    CHECK(table.scan("", "a", 10).size() == 1);
}

// Guards against a VM list without lag and one that changes while stale.
TEST_CASE("the VM list lags and can be held")
{
    kernel::steady_time const start(std::chrono::hours(1));
    vm_listing list(milliseconds(100));
    list.put({{"id", "vm-1"}}, start);
    CHECK(list.visible(start + milliseconds(99)).empty());
    CHECK(list.visible(start + milliseconds(100)).size() == 1);
    list.set_stale(true, start + milliseconds(100));
    list.remove("vm-1", start + milliseconds(100));
    CHECK(list.visible(start + milliseconds(300)).size() == 1);
    list.set_stale(false, start + milliseconds(300));
    CHECK(list.visible(start + milliseconds(300)).empty());
}

// Guards against a weight store without contention.
TEST_CASE("a third load at once takes longer")
{
    weight_store store(milliseconds(1000));
    CHECK(store.begin() == milliseconds(1000));
    CHECK(store.begin() == milliseconds(1000));
    CHECK(store.begin() == milliseconds(1500));
    store.end();
    CHECK(store.most() == 3);
    weight_store limited(milliseconds(1000), 1);
    CHECK(limited.begin());
    CHECK_FALSE(limited.begin());
    limited.end();
    CHECK(limited.begin());
}

// Guards against an outage that runs a transaction, and against a lost answer
// whose transaction did not take effect.
TEST_CASE("table outage and lost answers differ in effect")
{
    running_platform platform;
    CHECK(platform.commit("k", 0, "1").status == 200);
    CHECK(platform.commit("k", 0, "2").status == 409);
    post(platform.url("/admin/table_down"), R"({"on":true})");
    CHECK(platform.commit("down", 0, "1").status == 503);
    post(platform.url("/admin/table_down"), R"({"on":false})");
    CHECK(get(platform.url("/v1/row?key=down")).status == 404);
    post(platform.url("/admin/lose_answers"), R"({"count":1})");
    CHECK_FALSE(platform.commit("lost", 0, "1").complete);
    auto const row = get(platform.url("/v1/row?key=lost"));
    CHECK(json::parse(row.body)["value"] == "1");
    CHECK(platform.commit("a%2Fb/c d", 0, "x").status == 200);
    auto const rows = get(platform.url("/v1/rows?prefix=a%252Fb%2Fc%20d"));
    CHECK(json::parse(rows.body)["rows"].size() == 1);
}

// Guards against a restore that keeps a write, a version or an object made
// after the copy, or that loses one made before it.
TEST_CASE("a restored table is that of the copy and gives out versions again")
{
    kernel::steady_time const start(std::chrono::hours(1));
    table_store table;
    table.commit({}, {{"a", "1"}, {"b", "1"}}, start);
    table.commit({}, {{"a", "2"}, {"c", "1"}}, start + milliseconds(10));
    table.commit({}, {{"a", std::nullopt}}, start + milliseconds(20));
    table.restore(start + milliseconds(5));
    CHECK(table.read("a")->value == "1");
    CHECK(table.read("a")->version == 1);
    CHECK(table.read("b")->version == 1);
    CHECK_FALSE(table.read("c"));
    table.commit({{"a", 1}}, {{"a", "other"}}, start + milliseconds(30));
    CHECK(table.read("a")->version == 2);
}

// Guards against an era that stays the same or rises before the store is back,
// and against a schedule that restores once only.
TEST_CASE("each return from a copy raises the era by one")
{
    kernel::steady_time const start(std::chrono::hours(1));
    restore_drill drill(
        {milliseconds(1000), milliseconds(300), milliseconds(100)}, start);
    CHECK_FALSE(drill.advance(start + milliseconds(999)));
    CHECK_FALSE(drill.advance(start + milliseconds(1000)));
    CHECK(drill.is_away());
    CHECK(drill.era() == 1);
    CHECK(drill.advance(start + milliseconds(1100)) ==
          start + milliseconds(700));
    CHECK_FALSE(drill.is_away());
    CHECK(drill.era() == 2);
    drill.start(milliseconds(0), milliseconds(0), start + milliseconds(1200));
    CHECK(drill.advance(start + milliseconds(1200)));
    CHECK(drill.era() == 3);
    CHECK_FALSE(drill.advance(start + milliseconds(2000)));
    CHECK(drill.is_away());
}

// Guards against answers without the era and against an absence during which
// table or objects answer.
TEST_CASE("a restore switch takes table and objects back and names the era")
{
    running_platform platform;
    CHECK(platform.commit("k", 0, "1").headers.at("table-era") == "1");
    http_call put;
    put.method = "PUT";
    put.url = platform.url("/v1/object?key=o");
    put.body = "bytes";
    CHECK(send(put).status == 200);
    post(platform.url("/admin/restore"),
         R"({"copy_age_ms":250000,"away_ms":60000})");
    CHECK(platform.commit("k", 1, "2").status == 503);
    CHECK(get(put.url).status == 503);
    CHECK(get(platform.url("/v1/vms")).status == 200);

    running_platform other;
    CHECK(other.commit("k", 0, "1").status == 200);
    put.url = other.url("/v1/object?key=o");
    CHECK(send(put).status == 200);
    post(other.url("/admin/restore"), R"({"copy_age_ms":250000,"away_ms":0})");
    auto const row = get(other.url("/v1/row?key=k"));
    CHECK(row.status == 404);
    CHECK(row.headers.at("table-era") == "2");
    CHECK(get(put.url).status == 404);
    CHECK(other.commit("k", 0, "2").status == 200);
}

// Guards against objects that change on their way.
TEST_CASE("an object keeps its bytes and weights can be throttled")
{
    running_platform platform;
    http_call call;
    call.method = "PUT";
    call.url = platform.url("/v1/object?key=a");
    call.body = std::string("x\0y", 3);
    CHECK(send(call).status == 200);
    CHECK(get(call.url).body == call.body);
    std::string const weights = platform.url("/v1/weights?model=m&version=v");
    CHECK(get(weights).status == 200);
    post(platform.url("/admin/throttle_weights"), "{}");
    CHECK(get(weights).headers.at("retry-after") == "1");
    post(platform.url("/admin/vm_put"), R"({"id":"vm-1","role":"agent"})");
    CHECK(json::parse(get(platform.url("/v1/vms")).body)["vms"].size() == 1);
}

} // namespace endiveward::stand_ins
