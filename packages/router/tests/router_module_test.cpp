#include "router/router_module.hpp"

#include "config/types/router_settings.hpp"
#include "kernel/service_registry.hpp"
#include "router/config_readiness.hpp"
#include "router/tests/router_under_test.hpp"

namespace endiveward::router
{

namespace
{

void ignore(fake_agent::connection const&, wire::message const&) {}

config::router_settings settings_for(std::vector<std::uint16_t> const& seeds)
{
    config::router_settings out;
    out.common.name = kernel::process_id("router");
    out.common.region = kernel::region_id("region");
    out.common.zone = kernel::zone_id("zone");
    out.common.cluster_key = test_key();
    out.common.operator_token = "operator-token-0";
    for (auto* const it : {&out.common.listen_peers,
                           &out.common.listen_operators, &out.listen_callers})
        it->host = "127.0.0.1";
    for (auto const it : seeds)
        out.common.seeds.push_back({"127.0.0.1", it});
    return out;
}

/// The services of a process with a configuration of version 1.
struct process_services
{
    kernel::service_registry registry;
    std::shared_ptr<kernel::i_clock const> clock;
    std::shared_ptr<fake_config_state> state =
        std::make_shared<fake_config_state>(
            std::make_shared<fake_configuration>(
                1, config::i_configuration::endpoint_list{
                       kernel::endpoint_id("a")}));

    explicit process_services(std::shared_ptr<kernel::i_clock const> time =
                                  std::make_shared<kernel::system_clock>())
        : clock(std::move(time))
    {
        registry.add<kernel::i_clock const>("clock", clock);
        registry.add<kernel::i_random_source>(
            "random", std::make_shared<kernel::secure_random_source>());
        registry.add<config::i_config_state>("config_state", state);
        registry.add<placement::i_placement>(
            "placement", std::make_shared<fake_placement>());
    }
};

} // namespace

// Guards against a router that is ready while a process that it is connected to
// has a newer configuration, or that never becomes ready.
TEST_CASE("a router is ready with the version that its agents have")
{
    fake_agent agent("a", ignore, wire::process_role::agent, 5);
    process_services services;
    router_module module(settings_for({agent.port()}));
    module.resolve_services(services.registry);
    module.init();
    CHECK_FALSE(module.ready());
    REQUIRE(router_under_test::eventually(
        [&] { return !agent.received().empty(); }));
    CHECK_FALSE(module.ready());

    agent.send(wire::config_update{1, 5, true, "{}"});

    CHECK(router_under_test::eventually([&] { return module.ready(); }));
    CHECK(services.state->current()->version() == 5);
    module.announce_stop();
    CHECK_FALSE(module.ready());
    module.deinit();
}

// Guards against `config.when_isolated` having no effect: an isolated router
// has to refuse requests and to leave the load balancer's rotation.
TEST_CASE("an isolated router refuses requests if the settings say so")
{
    auto const clock = std::make_shared<thread_safe_manual_clock>();
    auto const policy = GENERATE(config::isolation_policy::refuse,
                                 config::isolation_policy::serve);
    process_services services(clock);
    auto settings = settings_for({});
    settings.when_isolated = policy;
    router_module module(settings);
    module.resolve_services(services.registry);
    module.init();
    auto const list_models = [&]
    {
        return http_exchange(module.caller_port(),
                             "GET /v1/models HTTP/1.1\r\nHost: test\r\n"
                             "Connection: close\r\n"
                             "Authorization: Bearer key\r\n\r\n");
    };
    CHECK(list_models().starts_with("HTTP/1.1 200"));
    clock->advance(config_readiness::confirmation_limit +
                   std::chrono::milliseconds(1));
    auto const answer = list_models();
    if (policy == config::isolation_policy::serve)
        CHECK(answer.starts_with("HTTP/1.1 200"));
    else
        CHECK(answer.find("stale_configuration") != std::string::npos);
    module.deinit();
}

// Guards against connections and timers that keep the router's objects alive
// after a stop.
TEST_CASE("a router that has stopped releases its services")
{
    std::weak_ptr<kernel::i_clock const> clock;
    {
        fake_agent const agent("a", ignore);
        fake_agent const peer("other", ignore, wire::process_role::router);
        process_services services;
        clock = services.clock;
        // Nothing listens on port 1, so a connection attempt is being retried.
        router_module module(settings_for({agent.port(), peer.port(), 1}));
        module.resolve_services(services.registry);
        module.init();
        REQUIRE(router_under_test::eventually([&] { return module.ready(); }));
        module.deinit();
    }
    CHECK(clock.expired());
}

} // namespace endiveward::router
