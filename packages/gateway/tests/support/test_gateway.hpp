#ifndef ENDIVEWARD_GATEWAY_TESTS_TEST_GATEWAY_HPP
#define ENDIVEWARD_GATEWAY_TESTS_TEST_GATEWAY_HPP

#include "gateway/gateway.hpp"
#include "gateway/routing_table.hpp"
#include "gateway/tests/support/test_names.hpp"
#include "kernel/system_clock.hpp"
#include "kernel/tests/support/run_on.hpp"
#include "kernel/thread_pool.hpp"
#include "observe/decision_log.hpp"
#include "resumption/recorded_versions.hpp"

#include <asio/post.hpp>
#include <prometheus/registry.h>

#include <optional>
#include <string>
#include <vector>

namespace endiveward::gateway
{

/// A gateway on loopback with one route of each kind: `/once/`, `/safe/`,
/// `/stream/` and `/resume/` of host `h`, all to service `s`. The keys are
/// `key1` of workspace `w1`, `key2` of `w2`, which is isolated, and `key3` of
/// `w3`.
class test_gateway
{
public:
    explicit test_gateway(room::room_switch room = room::room_switch::automatic)
        : log_(clock_, "test", 0)
        , pool_(1)
        , gateway_(pool_.context(0), clock_, test_names(), settings(room),
                   metrics_, log_)
    {
        port_ = kernel::value(gateway_.listen("127.0.0.1", 0));
        pool_.start();
    }

    ~test_gateway()
    {
        run([this] { gateway_.close_all(); });
        pool_.stop();
        pool_.discard_handlers();
    }

    test_gateway(test_gateway const&) = delete;
    test_gateway& operator=(test_gateway const&) = delete;

    std::uint16_t port() const { return port_; }

    void apply(kernel::config_version version = 1,
               std::chrono::milliseconds timeout = std::chrono::seconds(5),
               std::optional<engine_properties> engine = {},
               std::chrono::milliseconds target_latency =
                   std::chrono::milliseconds(400),
               unsigned max_connections = 1000)
    {
        auto const table = make_table(version, timeout, engine, target_latency,
                                      max_connections);
        run([&] { gateway_.apply(table); });
        set_history({});
    }

    std::shared_ptr<routing_table const>
    make_table(kernel::config_version version,
               std::chrono::milliseconds timeout,
               std::optional<engine_properties> engine,
               std::chrono::milliseconds target_latency =
                   std::chrono::milliseconds(400),
               unsigned max_connections = 1000) const
    {
        routing_config config;
        config.version = version;
        auto const add = [&](std::string const& name, route_kind kind)
        {
            route it;
            it.name = name;
            it.host = "h";
            it.prefix = "/" + name + "/";
            it.kind = kind;
            it.timeout = timeout;
            it.target_latency = target_latency;
            it.target_gap = std::chrono::milliseconds(400);
            it.max_attempts = is_retryable(kind) ? 2 : 1;
            it.shares = {{kernel::service_id("s"), 1}};
            config.routes.push_back(it);
        };
        add("once", route_kind::at_most_once);
        add("safe", route_kind::idempotent);
        add("stream", route_kind::stream);
        add("resume", route_kind::resumable_stream);
        service s;
        s.id = kernel::service_id("s");
        s.max_connections = max_connections;
        s.engine = engine;
        config.services = {s};
        if (kv_store_)
        {
            service store;
            store.id = kernel::service_id("k");
            store.kv_store = kv_store_;
            config.services.push_back(store);
        }
        config.needs_keys = true;
        config.workspaces = {{kernel::workspace_id("w1"), {"key1"}, {}, false},
                             {kernel::workspace_id("w2"), {"key2"}, {}, true},
                             {kernel::workspace_id("w3"), {"key3"}, {}, false}};
        config.workspaces[0].limit = limit_;
        config.workspaces[0].isolated = is_isolated_;
        config.limits = limits_;
        if (has_no_workspace_)
            config.workspaces.clear();
        return std::make_shared<routing_table const>(config);
    }

    /// Sets the limit of workspace `w1` in the next configuration.
    void set_limit(quota::limit const& it) { limit_ = it; }

    /// Isolates workspace `w1` in the next configuration, or no longer.
    void set_isolated(bool it) { is_isolated_ = it; }

    /// Sets callers' limits in the next configuration.
    void set_caller_limits(caller_limits const& it) { limits_ = it; }

    /// Adds a KV cache store at `IP:PORT` to the next configuration.
    void set_kv_store(std::string const& address)
    {
        kv_store_.emplace();
        kv_store_->address = address;
    }

    /// Takes all workspaces away in the next configuration.
    void remove_workspaces() { has_no_workspace_ = true; }

    /// The entry of endpoint `eN` of service `s`.
    static endpoint_entry entry(std::size_t number, std::uint16_t port)
    {
        endpoint_entry res;
        res.id = kernel::endpoint_id("e" + std::to_string(number));
        res.service = kernel::service_id("s");
        res.host = "127.0.0.1";
        res.port = port;
        res.slots = 8;
        return res;
    }

    /// Registers endpoints `e0`, `e1` and so on at these ports. The gateway's
    /// own zone is empty.
    void set_endpoints(std::vector<std::uint16_t> const& ports,
                       std::vector<std::string> const& zones = {})
    {
        std::vector<endpoint_entry> entries;
        for (std::size_t n = 0; n < ports.size(); ++n)
        {
            auto it = entry(n, ports[n]);
            if (n < zones.size() && !zones[n].empty())
                it.zone = kernel::zone_id(zones[n]);
            entries.push_back(it);
        }
        set_entries(std::move(entries));
    }

    /// The store knows all software versions that service `s` had while
    /// streams can have begun: these beside those of the entries.
    void set_history(std::vector<std::string> const& versions)
    {
        resumption::recorded_versions history;
        history.complete_since = kernel::steady_time::min();
        for (auto const& it : versions)
            history.items.push_back(
                {kernel::service_id("s"), kernel::software_version(it), {}});
        run([&] { gateway_.apply(history); });
    }

    /// Begins a planned stop of a process that exits after this time.
    void announce_stop(std::chrono::milliseconds time_left)
    {
        run([&] { gateway_.announce_stop(clock_.now() + time_left); });
    }

    void stop_listening()
    {
        run([this] { gateway_.stop_listening(); });
    }

    void set_entries(std::vector<endpoint_entry> entries)
    {
        run([&] { gateway_.apply(std::move(entries)); });
    }

    template <typename F>
    void run(F work)
    {
        kernel::tests::run_on(pool_.context(0), std::move(work));
    }

    /// Does not wait until the work is done.
    template <typename F>
    void post(F work)
    {
        asio::post(pool_.context(0), std::move(work));
    }

    gateway& get() { return gateway_; }

private:
    static gateway_settings settings(room::room_switch room)
    {
        gateway_settings res;
        res.room = room;
        res.processes = 1;
        res.may_be_restarted = false;
        return res;
    }

    kernel::system_clock clock_;
    prometheus::Registry metrics_;
    observe::decision_log log_;
    kernel::thread_pool pool_;
    gateway gateway_;
    std::uint16_t port_ = 0;
    std::optional<quota::limit> limit_;
    bool is_isolated_ = false;
    bool has_no_workspace_ = false;
    std::optional<kv_store_properties> kv_store_;
    caller_limits limits_;
};

inline std::string get_request(std::string const& path, std::string const& id,
                               std::string const& extra = {})
{
    return "GET " + path + " HTTP/1.1\r\nHost: h\r\nX-Id: " + id +
           "\r\nX-Time: 3000\r\nX-Key: key1\r\n" + extra + "\r\n";
}

} // namespace endiveward::gateway

#endif
