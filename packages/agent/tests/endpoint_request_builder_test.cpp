#include "agent/internal/endpoint_request_builder.hpp"

#include "kernel/json_bounds.hpp"
#include "wire/types/invoke.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>

namespace endiveward::agent
{

namespace
{

wire::invoke completion(std::string const& body)
{
    wire::invoke res;
    res.target = wire::target_kind::engine;
    res.method = "POST";
    res.path = "/v1/completions";
    res.body = body;
    return res;
}

std::string body_with(std::string const& metadata)
{
    return R"({"model":"m","metadata":)" + metadata + "}";
}

} // namespace

// Guards against a body whose levels take more stack than the agent has, sent
// by a router of an earlier version, which does not check them.
TEST_CASE("the agent refuses a body of too many levels or values")
{
    auto const levels =
        GENERATE(as<std::size_t>{}, kernel::max_json_levels, 200'000);
    auto const nested = completion(
        body_with(std::string(levels, '[') + std::string(levels, ']')));
    auto const res = build_endpoint_request(nested, "salt");
    REQUIRE_FALSE(kernel::ok(res));
    CHECK(kernel::failure(res).kind == kernel::error_kind::invalid_request);
    CHECK(kernel::failure(res).run == kernel::run_state::not_run);
}

// Guards against a limit that changes what sound callers send.
TEST_CASE("the agent forwards a body within the limits")
{
    auto const levels = kernel::max_json_levels - 1;
    auto const metadata = std::string(levels, '[') + std::string(levels, ']');
    auto const res =
        build_endpoint_request(completion(body_with(metadata)), "salt");
    REQUIRE(kernel::ok(res));
    auto const body = nlohmann::json::parse(kernel::value(res).body);
    CHECK(body["metadata"].dump() == metadata);
    CHECK(body["cache_salt"] == "salt");
}

} // namespace endiveward::agent
