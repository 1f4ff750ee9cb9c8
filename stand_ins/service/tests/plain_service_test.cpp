#include "service/plain_service.hpp"

#include "support/http_client.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace endiveward::stand_ins
{

using nlohmann::json;
using namespace test_support;

// Guards against repeated executions that a test does not see.
TEST_CASE("executions are counted by pass and by request")
{
    execution_log log;
    CHECK(log.add("p1", "r1") == 1);
    CHECK(log.add("p1", "r2") == 2);
    CHECK(log.by_request().at("r1") == 1);
    CHECK(log.total() == 2);
}

// Guards against an execution that is not counted because its answer was lost.
TEST_CASE("a check with a lost answer counts as executed")
{
    plain_service service{std::chrono::milliseconds(0)};
    http_server server("127.0.0.1", 0,
                       [&service](auto& req, auto& reply)
                       { service.handle(req, reply); });
    auto const url = [&server](std::string const& path)
    { return fmt::format("http://127.0.0.1:{}{}", server.port(), path); };
    CHECK(post(url("/check"), R"({"pass":"p1"})").status == 200);
    post(url("/admin/break_connection"), "{}");
    CHECK_FALSE(post(url("/check"), R"({"pass":"p1"})").complete);
    CHECK(get(url("/holds/h1")).status == 200);
    auto const stats = json::parse(get(url("/admin/stats")).body);
    CHECK(stats["executions_by_pass"]["p1"] == 2);
    CHECK(stats["hold_reads"] == 1);
}

} // namespace endiveward::stand_ins
