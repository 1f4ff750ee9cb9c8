#include "support/deployment.hpp"
#include "support/http_client.hpp"
#include "support/wait.hpp"

#include <catch2/catch.hpp>

#include <set>
#include <toml++/toml.h>

namespace endiveward::test_support
{

namespace
{

deployment_description stand_ins_only()
{
    deployment_description what;
    what.routers = 0;
    endpoint_description engine;
    engine.id = "worker-1";
    engine.options = {"--weights=m@v1", "--token-interval-ms=0"};
    engine.with_agent = false;
    endpoint_description service;
    service.id = "gate-1";
    service.service = "gate";
    service.with_agent = false;
    what.endpoints = {engine, service};
    return what;
}

std::string const completion = R"({"model":"m","prompt":"hello <<a>>"})";

} // namespace

// Guards against stand-in programs that do not start or whose switches fail.
TEST_CASE("a deployment starts stand-ins that serve and crash on order")
{
    deployment running(stand_ins_only());
    std::string const& url = running.endpoint_url(0);
    CHECK(post(url + "/v1/completions", completion).status == 200);
    CHECK(post(running.endpoint_url(1) + "/check", R"({"pass":"p"})").status ==
          200);
    auto const before = deployment::stats(url)["incarnation"];
    deployment::operate(url, "crash_on_start");
    CHECK_FALSE(post(url + "/v1/completions", completion).complete);
    CHECK(running.endpoint(0).wait(long_limit).has_value());
    CHECK_FALSE(running.endpoint(0).succeeded());
    running.endpoint(0).start();
    REQUIRE(wait_until_serving(url + "/v1/load"));
    CHECK(deployment::stats(url)["incarnation"] != before);
    deployment::operate(url, "crash");
    CHECK(running.endpoint(0).wait(long_limit).has_value());
}

// Guards against orders that do not load weights from the platform.
TEST_CASE("an engine loads weights from the platform")
{
    auto what = stand_ins_only();
    what.platform_options = {"--load-time-ms=1"};
    deployment running(what);
    auto const order =
        R"({"order":"load","model":"m","version":"v2","fencing_number":1})";
    std::string const& url = running.endpoint_url(0);
    CHECK(post(url + "/v1/orders", order).status == 200);
    CHECK(deployment::stats(running.platform_url())["weight_reads"] == 1);
    deployment::operate(running.platform_url(), "throttle_weights");
    CHECK(post(url + "/v1/orders", order).status == 503);
}

// Guards against a paused process that answers, and a leaked process.
TEST_CASE("a paused process answers only after it proceeds")
{
    deployment running(stand_ins_only());
    running.platform().pause();
    http_call call;
    call.url = running.platform_url() + "/v1/vms";
    call.timeout = std::chrono::milliseconds(200);
    CHECK_FALSE(send(call).complete);
    running.platform().proceed();
    CHECK(wait_until_serving(call.url));
    running.platform().terminate();
    CHECK(running.platform().wait(long_limit).has_value());
    CHECK(running.platform().succeeded());
}

// Guards against parallel calls whose answers are mixed up.
TEST_CASE("parallel answers are in the order of the calls")
{
    deployment running(stand_ins_only());
    std::vector<http_call> calls(20);
    for (std::size_t n = 0; n < calls.size(); ++n)
        calls[n].url = running.endpoint_url(1) + "/holds/h" + std::to_string(n);
    auto const answers = send_all(calls);
    for (std::size_t n = 0; n < calls.size(); ++n)
        CHECK(nlohmann::json::parse(answers[n].body)["id"] ==
              "h" + std::to_string(n));
}

// Guards against settings files that are no TOML or lose settings.
TEST_CASE("settings files keep their values")
{
    agent_file settings;
    settings.common.name = "agent \"1\"";
    settings.common.seeds = {"127.0.0.1:1"};
    settings.common.more["log"]["level"] = std::string("debug");
    settings.service = "gate";
    auto const table = toml::parse(to_toml(settings));
    CHECK(table["process"]["name"].value<std::string>() == "agent \"1\"");
    CHECK(table["members"]["seeds"][0].value<std::string>() == "127.0.0.1:1");
    CHECK(table["log"]["level"].value<std::string>() == "debug");
    CHECK(table["endpoint"]["kind"].value<std::string>() == "service");
}

// Guards against a port that is given out again before the process for which it
// was chosen listens on it.
TEST_CASE("no port is given out twice")
{
    constexpr std::size_t number = 500;
    std::set<std::uint16_t> ports;
    for (std::size_t n = 0; n < number; ++n)
        ports.insert(free_port());
    CHECK(ports.size() == number);
}

} // namespace endiveward::test_support
