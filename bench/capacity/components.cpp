#include "admission/cache_index.hpp"
#include "admission/types/cache_event.hpp"
#include "config/apply_change.hpp"
#include "config/config_json.hpp"
#include "config/config_state.hpp"
#include "config/configuration.hpp"
#include "config/types/routing_key.hpp"
#include "kernel/seeded_random_source.hpp"
#include "kernel/thread_pool.hpp"
#include "process_usage.hpp"
#include "sha256.hpp"
#include "wire/acceptor.hpp"
#include "wire/codec.hpp"
#include "wire/connection_options.hpp"
#include "wire/connector.hpp"
#include "wire/frame_authenticator.hpp"
#include "wire/i_connection.hpp"
#include "wire/i_connection_observer.hpp"
#include "wire/i_local_identity.hpp"
#include "wire/types/wire_counters.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <future>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

// Slopes of single components, measured in this process. Prints CSV with the
// columns component, quantity, size, value and unit.

namespace
{

using namespace endiveward;

void row(std::string const& component, std::string const& quantity,
         std::string const& size, double value, std::string const& unit)
{
    std::cout << fmt::format("{},{},{},{:.6g},{}\n", component, quantity, size,
                             value, unit)
              << std::flush;
}

/// Processor seconds of a call.
template <typename Function>
double cpu_of(Function function)
{
    auto const before = bench::own_cpu_seconds();
    function();
    return bench::own_cpu_seconds() - before;
}

/// Keeps results from being optimized away.
std::atomic<std::uint64_t> sink{0};

void measure_cache_index(std::size_t blocks)
{
    kernel::seeded_random_source random(1);
    std::vector<kernel::hash128> listing(blocks);
    for (auto& it : listing)
        it = {random.next(), random.next()};
    auto const size = std::to_string(blocks);
    admission::cache_index index(blocks);
    auto const before = bench::heap_bytes();
    auto const reset = cpu_of([&] { index.reset(1, 0, listing); });
    row("cache_index", "memory_per_block", size,
        static_cast<double>(bench::heap_bytes() - before) /
            static_cast<double>(blocks),
        "B");
    row("cache_index", "reset", size, reset, "cpu_s");
    // Each block is replaced by another one, as in a full cache.
    std::uint64_t number = 0;
    constexpr std::size_t events = 2'000'000;
    auto const spent = cpu_of(
        [&]
        {
            for (std::size_t i = 0; i < events / 2; ++i)
            {
                auto& victim = listing[i % blocks];
                index.apply({1, ++number, admission::cache_event_kind::evicted,
                             victim});
                victim = {random.next(), random.next()};
                index.apply(
                    {1, ++number, admission::cache_event_kind::stored, victim});
            }
        });
    row("cache_index", "events_per_core", size,
        static_cast<double>(events) / spent, "1/s");
}

std::string api_key(std::size_t n)
{
    return fmt::format("key-of-workspace-{:06}", n);
}

constexpr std::size_t models = 30;

/// One workspace in eight is large, ten zones, two versions for each model.
config::change make_change(std::size_t workspaces, std::size_t endpoints)
{
    config::change res;
    res.id = "00000000-0000-4000-8000-000000000001";
    res.author = "capacity";
    auto& list = res.operations;
    for (std::size_t i = 0; i < endpoints; ++i)
    {
        config::endpoint_entry it;
        it.id = kernel::endpoint_id(fmt::format("worker-{:05}", i));
        it.labels = {{"pool", fmt::format("pool-{}", i % models)},
                     {"region", fmt::format("region-{}", i % 4)},
                     {"zone", fmt::format("zone-{}", i % 10)}};
        list.emplace_back(config::put_object<config::endpoint_entry>{it});
    }
    for (std::size_t i = 0; i < workspaces; ++i)
    {
        config::workspace_entry it;
        it.id = kernel::workspace_id(fmt::format("workspace-{:06}", i));
        it.labels = {{"size", i % 8 == 0 ? "large" : "small"},
                     {"tier", fmt::format("tier-{}", i % 5)}};
        it.key_hashes = {bench::sha256_hex(api_key(i))};
        list.emplace_back(config::put_object<config::workspace_entry>{it});
    }
    for (std::size_t i = 0; i < models; ++i)
    {
        auto const pool = fmt::format("pool-{}", i);
        config::model_entry it;
        it.id = kernel::model_id(fmt::format("model-{}", i));
        it.versions = {{kernel::model_version("1"), {{"pool", pool}}},
                       {kernel::model_version("2"), {{"pool", pool}}}};
        list.emplace_back(config::put_object<config::model_entry>{it});
        config::rule_entry rule;
        rule.id = fmt::format("rule-{}", i);
        rule.order = static_cast<std::int64_t>(i);
        rule.selectors = {"", "pool=" + pool, "pool=" + pool};
        list.emplace_back(config::put_object<config::rule_entry>{rule});
    }
    config::move_entry move;
    move.id = "leave-zone-3";
    move.stage = "small";
    move.stages = {{"small", {{"size=small", "pool=pool-3", "zone!=zone-3"}}}};
    list.emplace_back(config::put_object<config::move_entry>{move});
    return res;
}

void measure_lookups(config::configuration const& sut, std::size_t workspaces,
                     std::string const& size)
{
    constexpr std::size_t count = 200'000;
    std::vector<std::string> keys;
    std::vector<config::routing_key> traffic;
    std::vector<kernel::endpoint_id> endpoints;
    constexpr std::size_t samples = 4096;
    for (std::size_t i = 0; i < samples; ++i)
    {
        auto const n = i * 7919 % workspaces;
        keys.push_back(api_key(n));
        traffic.push_back(
            {kernel::workspace_id(fmt::format("workspace-{:06}", n)),
             kernel::model_id(fmt::format("model-{}", i % models)),
             kernel::model_version("1"),
             {}});
        endpoints.emplace_back(fmt::format("worker-{:05}", i % 300));
    }
    auto const per_call = [&](char const* name, auto call)
    {
        auto const spent = cpu_of(
            [&]
            {
                std::uint64_t sum = 0;
                for (std::size_t i = 0; i < count; ++i)
                    sum += call(i % samples);
                sink += sum;
            });
        row("configuration", name, size, spent / count * 1e9, "cpu_ns");
    };
    per_call("authenticate", [&](std::size_t i)
             { return sut.authenticate(keys[i]) != nullptr ? 1U : 0U; });
    per_call("allowed_endpoints", [&](std::size_t i)
             { return sut.allowed_endpoints(traffic[i])->size(); });
    per_call("allows", [&](std::size_t i)
             { return sut.allows(traffic[i], endpoints[i]) ? 1U : 0U; });
}

void require(bool condition, char const* what)
{
    if (!condition)
        throw std::runtime_error(what);
}

void measure_configuration(std::size_t workspaces, std::size_t endpoints)
{
    auto const size = fmt::format("{}w/{}e", workspaces, endpoints);
    auto const first = make_change(workspaces, endpoints);
    auto const first_text =
        config::changes_body({config::to_json(first).dump()});
    config::config_state source;
    require(kernel::ok(source.apply({0, 1, false, first_text})),
            "the first change does not apply");
    auto const body = config::to_json(*source.compiled()->data()).dump();
    row("configuration", "snapshot_bytes", size,
        static_cast<double>(body.size()), "B");

    config::config_state state;
    auto const heap = bench::heap_bytes();
    auto const load = cpu_of(
        [&]
        {
            require(kernel::ok(state.apply({0, 1, true, body})),
                    "the snapshot does not apply");
        });
    row("configuration", "memory", size,
        static_cast<double>(bench::heap_bytes() - heap), "B");
    row("configuration", "snapshot_apply", size, load, "cpu_s");
    auto const build =
        cpu_of([&] { sink += state.update_since(0).body.size(); });
    row("configuration", "snapshot_build", size, build, "cpu_s");
    constexpr int compiles = 5;
    auto const compile = cpu_of(
        [&]
        {
            for (int i = 0; i < compiles; ++i)
                require(kernel::ok(config::configuration::compile(
                            state.compiled()->data())),
                        "the configuration does not compile");
        });
    row("configuration", "compile", size, compile / compiles, "cpu_s");

    constexpr kernel::config_version updates = 10;
    double spent = 0;
    std::size_t bytes = 0;
    for (kernel::config_version n = 1; n <= updates; ++n)
    {
        config::change next;
        next.id = fmt::format("00000000-0000-4000-9000-{:012}", n);
        next.author = "capacity";
        next.operations = {config::set_label{
            {config::object_kind::workspace, "workspace-000001", ""},
            "tier",
            fmt::format("tier-{}", n % 5)}};
        next.seen = {{"workspace/workspace-000001", n}};
        auto const text = config::changes_body({config::to_json(next).dump()});
        bytes = text.size();
        spent += cpu_of(
            [&]
            {
                require(kernel::ok(state.apply({n, n + 1, false, text})),
                        "a change does not apply");
            });
    }
    row("configuration", "update_bytes", size, static_cast<double>(bytes), "B");
    row("configuration", "update_apply", size,
        spent / static_cast<double>(updates), "cpu_s");
    measure_lookups(*state.compiled(), workspaces, size);
}

void measure_frames(std::size_t bytes)
{
    auto const size = std::to_string(bytes);
    auto const count = std::min<std::size_t>(200'000, 400'000'000 / bytes);
    wire::frame_authenticator tags(std::string(32, 'k'));
    wire::message const msg = wire::chunk{1, 2, std::string(bytes, 'x')};
    auto const payload = wire::encode(msg);
    auto const tag = cpu_of(
        [&]
        {
            for (std::size_t i = 0; i < count; ++i)
                sink += tags.compute(i, payload)[0];
        });
    row("wire", "tag", size, tag / static_cast<double>(count) * 1e9, "cpu_ns");
    auto const codec = cpu_of(
        [&]
        {
            for (std::size_t i = 0; i < count; ++i)
                sink += wire::decode(wire::encode(msg)).index();
        });
    row("wire", "encode_decode", size, codec / static_cast<double>(count) * 1e9,
        "cpu_ns");
}

class local_identity : public wire::i_local_identity
{
public:
    wire::hello describe() const override
    {
        wire::hello own;
        own.process = kernel::process_id("capacity");
        return own;
    }
};

class counting_observer : public wire::i_connection_observer
{
public:
    void on_open(std::shared_ptr<wire::i_connection> const& conn) override
    {
        (void)conn;
    }
    void on_message(std::shared_ptr<wire::i_connection> const& conn,
                    wire::message msg) override
    {
        (void)conn;
        if (std::holds_alternative<wire::chunk>(msg))
            received.fetch_add(1, std::memory_order_release);
    }
    void on_closed(std::shared_ptr<wire::i_connection> const& conn,
                   kernel::error const& reason) override
    {
        (void)conn;
        (void)reason;
    }

    std::atomic<std::size_t> received{0};
};

struct wire_process
{
    wire_process()
    {
        options->key.bytes = std::string(wire::cluster_key::min_bytes, 'k');
        options->identity = std::make_shared<local_identity>();
        options->random = std::make_shared<kernel::seeded_random_source>(1);
        options->counters = std::make_shared<wire::wire_counters>();
        options->observer = observer;
        pool.start();
    }

    std::shared_ptr<counting_observer> observer =
        std::make_shared<counting_observer>();
    std::shared_ptr<wire::connection_options> options =
        std::make_shared<wire::connection_options>();
    kernel::thread_pool pool{1};
};

/// Frames through a connection over loopback; the processor time is that of
/// sender, receiver and kernel together.
void measure_connection(std::size_t bytes)
{
    using connect_result = kernel::result<std::shared_ptr<wire::i_connection>>;
    wire_process server;
    wire_process client;
    wire::acceptor accepting(server.pool, server.options);
    auto const port = accepting.listen("127.0.0.1", 0);
    require(kernel::ok(port), "cannot listen");
    std::promise<connect_result> promise;
    wire::connector(client.options)
        .connect(client.pool.context(0), "127.0.0.1", kernel::value(port),
                 [&promise](connect_result res)
                 { promise.set_value(std::move(res)); });
    auto const opened = promise.get_future().get();
    require(kernel::ok(opened), "cannot connect");
    auto const conn = kernel::value(opened);
    auto const count = std::min<std::size_t>(200'000, 400'000'000 / bytes);
    std::string const text(bytes, 'x');
    // Keeps the queue far below the limit that closes the connection.
    auto const window = std::max<std::size_t>(1, 8'000'000 / (bytes + 100));
    auto const spent = cpu_of(
        [&]
        {
            for (std::size_t n = 0; n < count; ++n)
            {
                while (n > server.observer->received.load(
                               std::memory_order_acquire) +
                               window)
                    std::this_thread::sleep_for(std::chrono::milliseconds(1));
                conn->send(wire::chunk{1, n, text});
            }
            while (server.observer->received.load() < count)
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
        });
    row("wire", "frames_per_core", std::to_string(bytes),
        static_cast<double>(count) / spent, "1/s");
    conn->close();
    accepting.stop();
    client.pool.stop();
    server.pool.stop();
}

} // namespace

int main()
{
    try
    {
        std::cout << "component,quantity,size,value,unit\n";
        for (std::size_t const blocks : {50'000U, 200'000U, 800'000U})
            measure_cache_index(blocks);
        for (std::size_t const workspaces : {1'000U, 10'000U, 33'000U})
            for (std::size_t const endpoints : {12U, 100U, 300U})
                measure_configuration(workspaces, endpoints);
        measure_configuration(33'000, 1'200);
        for (std::size_t const bytes : {64U, 1'024U, 16'384U, 262'144U})
        {
            measure_frames(bytes);
            measure_connection(bytes);
        }
        return 0;
    }
    catch (std::exception const& ex)
    {
        std::cerr << ex.what() << '\n';
        return 1;
    }
}
