#ifndef ENDIVEWARD_ROUTER_TESTS_ROUTER_UNDER_TEST_HPP
#define ENDIVEWARD_ROUTER_TESTS_ROUTER_UNDER_TEST_HPP

#include "kernel/secure_random_source.hpp"
#include "kernel/system_clock.hpp"
#include "kernel/thread_pool.hpp"
#include "router/caller_api.hpp"
#include "router/caller_server.hpp"
#include "router/crash_watch.hpp"
#include "router/peer_connections.hpp"
#include "router/relay_services.hpp"
#include "router/router_metrics.hpp"
#include "router/tests/fake_agent.hpp"
#include "router/tests/fakes.hpp"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <prometheus/registry.h>

#include <atomic>
#include <chrono>
#include <thread>

namespace endiveward::router
{

/// Sends the request and reads until the server closes the connection.
inline std::string http_exchange(std::uint16_t port, std::string const& request)
{
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), port});
    asio::write(socket, asio::buffer(request));
    std::string answer;
    std::error_code ec;
    asio::read(socket, asio::dynamic_buffer(answer), ec);
    return answer;
}

/// A router with HTTP and the real wire package, but with fake configuration
/// and placement.
class router_under_test
{
public:
    explicit router_under_test(
        std::vector<fake_agent const*> const& agents,
        caller_api_options api_options = {},
        std::vector<fake_agent const*> const& routers = {},
        std::chrono::milliseconds probe_interval = {},
        std::shared_ptr<storage::i_vm_list> vms = {})
        : probe_interval_(probe_interval)
        , vm_list_(std::move(vms))
    {
        config::i_configuration::endpoint_list const endpoints{
            kernel::endpoint_id("a"), kernel::endpoint_id("b")};
        configuration = std::make_shared<fake_config_state>(
            std::make_shared<fake_configuration>(1, endpoints));
        metrics = std::make_shared<router_metrics>(registry);
        make_connections(agents, routers);
        make_services();
        api_options.services = services;
        api_options.traffic = traffic;
        api = std::make_shared<caller_api>(api_options);
        caller_server_options options;
        options.address = "127.0.0.1";
        options.max_body_bytes = api_options.max_body_bytes;
        server = std::make_unique<caller_server>(http.context(0), options, api);
        traffic->start();
        control->start();
        http.start();
        start(agents.size());
    }

    ~router_under_test()
    {
        connections->stop();
        http.stop();
        traffic->stop();
        control->stop();
        wire_options_->observer.reset();
    }

    std::uint16_t port() const { return port_; }

    std::string exchange(std::string const& request) const
    {
        return http_exchange(port_, request);
    }

    std::string post(std::string const& path, std::string const& body,
                     std::string const& fields = {}) const
    {
        return exchange(make_post(path, body, fields));
    }

    static std::string make_post(std::string const& path,
                                 std::string const& body,
                                 std::string const& fields = {})
    {
        return "POST " + path +
               " HTTP/1.1\r\nHost: test\r\nConnection: close\r\n"
               "Authorization: Bearer key\r\n" +
               fields + "Content-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }

    /// Waits for a condition that must become true; the limit only ends a test
    /// that fails.
    template <typename F>
    static bool eventually(F const& condition)
    {
        auto const limit =
            std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (!condition())
        {
            if (std::chrono::steady_clock::now() > limit)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return true;
    }

    std::shared_ptr<prometheus::Registry> registry =
        std::make_shared<prometheus::Registry>();
    std::shared_ptr<kernel::thread_pool> control =
        std::make_shared<kernel::thread_pool>(1);
    std::shared_ptr<kernel::thread_pool> traffic =
        std::make_shared<kernel::thread_pool>(2);
    kernel::thread_pool http{1};
    std::shared_ptr<kernel::secure_random_source> random =
        std::make_shared<kernel::secure_random_source>();
    std::shared_ptr<fake_placement> placement =
        std::make_shared<fake_placement>();
    /// Clock for the idle limits of connections.
    std::shared_ptr<thread_safe_manual_clock> membership_clock =
        std::make_shared<thread_safe_manual_clock>();
    std::shared_ptr<fake_config_state> configuration;
    std::shared_ptr<router_metrics> metrics;
    std::shared_ptr<peer_connections> connections;
    std::shared_ptr<relay_services> services;
    std::shared_ptr<crash_watch> crashes;
    std::shared_ptr<caller_api> api;
    std::unique_ptr<caller_server> server;
    std::atomic<int> dropped{0};
    std::atomic<int> updates_sent{0};
    std::atomic<int> hellos{0};
    std::atomic<int> reports{0};
    static constexpr std::chrono::milliseconds gossip_interval{20};

private:
    class identity : public wire::i_local_identity
    {
    public:
        wire::hello describe() const override
        {
            wire::hello own;
            own.process = kernel::process_id("router");
            own.config_version = 1;
            return own;
        }
    };

    void make_connections(std::vector<fake_agent const*> const& agents,
                          std::vector<fake_agent const*> const& routers)
    {
        peer_connections_options options;
        options.control = control;
        options.traffic = traffic;
        options.clock = membership_clock;
        options.random = random;
        options.self = kernel::process_id("router");
        options.region = kernel::region_id("region");
        options.configuration = configuration;
        options.placement = placement;
        options.on_dropped = [this] { ++dropped; };
        options.probe_interval = probe_interval_;
        options.on_part_report = [this](auto const& report)
        { crashes->on_report(report); };
        options.vm_list = vm_list_;
        options.vm_poll_interval = gossip_interval;
        options.on_hello = [this](auto) { ++hellos; };
        options.on_reported = [this](auto) { ++reports; };
        options.on_update_sent = [this] { ++updates_sent; };
        for (auto const* it : agents)
            options.seeds.push_back({"127.0.0.1", it->port()});
        for (auto const* it : routers)
            options.seeds.push_back({"127.0.0.1", it->port()});
        options.gossip_interval = gossip_interval;
        connections = std::make_shared<peer_connections>(options);
    }

    void make_services()
    {
        services = std::make_shared<relay_services>();
        services->clock = std::make_shared<kernel::system_clock>();
        services->random = random;
        services->region = kernel::region_id("region");
        services->configuration = configuration;
        services->placement = placement;
        services->agents = connections;
        services->metrics = metrics;
        crashes = std::make_shared<crash_watch>(services->clock, 1);
        crashes->set_news_handler([this](auto const& news)
                                  { connections->send_part_report(news); });
        services->crashes = crashes;
        services->make_prefix_levels =
            [](auto const&, auto const&, auto const&, auto const&)
        { return std::vector<wire::prefix_level>(); };
        services->on_request = [] {};
        services->try_take_retry_token = [] { return true; };
        // Too long to expire in a test that does not wait for it.
        services->verdict_timeout = std::chrono::seconds(60);
        services->resume_timeout = std::chrono::seconds(60);
    }

    void start(std::size_t agents)
    {
        auto const& options = wire_options_;
        options->key = test_key();
        options->identity = std::make_shared<identity>();
        options->random = random;
        options->counters = std::make_shared<wire::wire_counters>();
        options->observer = connections;
        connections->start(options);
        auto const res = server->start();
        REQUIRE(kernel::ok(res));
        port_ = kernel::value(res);
        REQUIRE(
            eventually([&] { return connections->open_agents() == agents; }));
    }

    std::chrono::milliseconds const probe_interval_;
    std::shared_ptr<storage::i_vm_list> const vm_list_;
    std::shared_ptr<wire::connection_options> const wire_options_ =
        std::make_shared<wire::connection_options>();
    std::uint16_t port_ = 0;
};

} // namespace endiveward::router

#endif
