#include "process_usage.hpp"
#include "sha256.hpp"
#include "support/deployment.hpp"
#include "support/http_client.hpp"
#include "support/wait.hpp"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <tuple>
#include <utility>

// Slopes of real processes with stand-ins on loopback. Prints CSV with the
// columns scenario, size, role, quantity, value and unit.

namespace
{

using namespace endiveward;
using nlohmann::json;
using steady = std::chrono::steady_clock;
using test_support::deployment;

constexpr char const* api_key = "capacity-key";

struct sizes
{
    std::size_t routers = 1;
    std::size_t agents = 1;
    std::size_t workspaces = 0;
    /// Further entries of the VM list, in other regions.
    std::size_t vms = 0;
    std::size_t seconds = 60;
    std::int64_t token_interval_ms = 5;
    std::int64_t capacity = 16;

    std::string text() const
    {
        return fmt::format("{}r/{}a/{}w/{}v", routers, agents, workspaces, vms);
    }
};

double since(steady::time_point start)
{
    return std::chrono::duration<double>(steady::now() - start).count();
}

void row(std::string const& scenario, std::string const& size,
         std::string const& role, std::string const& quantity, double value,
         std::string const& unit)
{
    std::cout << fmt::format("{},{},{},{},{:.6g},{}\n", scenario, size, role,
                             quantity, value, unit)
              << std::flush;
}

/// Processes under measurement.
class system_under_load
{
public:
    explicit system_under_load(sizes const& size)
        : size_(size)
        , deployment_(describe(size))
    {
        auto list = json::array();
        list.push_back(
            {{"op", "put_model"},
             {"model",
              {{"id", "m"},
               {"versions",
                {{{"version", "1"}, {"labels", {{"pool", "p"}}}}}}}}});
        list.push_back({{"op", "put_rule"},
                        {"rule",
                         {{"id", "all"},
                          {"order", 1},
                          {"workspaces", ""},
                          {"models", ""},
                          {"endpoints", ""}}}});
        list.push_back(workspace("capacity", bench::sha256_hex(api_key)));
        for (std::size_t n = 0; n < size.agents; ++n)
            list.push_back({{"op", "put_endpoint"},
                            {"endpoint",
                             {{"id", fmt::format("e{}", n)},
                              {"kind", "engine"},
                              {"labels", {{"pool", "p"}}}}}});
        change(list);
        constexpr std::size_t batch = 1000;
        for (std::size_t n = 0; n < size.workspaces; n += batch)
        {
            list = json::array();
            for (auto i = n; i < std::min(n + batch, size.workspaces); ++i)
                list.push_back(workspace(fmt::format("workspace-{:06}", i),
                                         fmt::format("{:064x}", i + 1)));
            change(list);
        }
    }

    /// Adds VMs to the platform's list.
    void list_vms()
    {
        for (std::size_t n = 0; n < size_.vms; ++n)
            deployment::operate(
                deployment_.platform_url(), "vm_put",
                {{"id", fmt::format("vm-{:06}", n)},
                 {"role", "agent"},
                 {"address", fmt::format("10.1.{}.{}", n / 250, n % 250)},
                 {"port", 7000},
                 {"region", fmt::format("region-{}", n % 3)},
                 {"zone", fmt::format("zone-{}", n % 9)},
                 {"endpoint", fmt::format("worker-{:05}", n)},
                 {"leaving", false}});
    }

    /// Bytes of an answer of the VM list.
    double vm_list_bytes() const
    {
        return static_cast<double>(
            test_support::get(deployment_.platform_url() + "/v1/vms")
                .body.size());
    }

    deployment& processes() { return deployment_; }

    std::vector<pid_t> pids(std::string const& role)
    {
        std::vector<pid_t> res;
        if (role == "router")
            for (std::size_t n = 0; n < size_.routers; ++n)
                res.push_back(deployment_.router(n).pid());
        else
            for (std::size_t n = 0; n < size_.agents; ++n)
                res.push_back(role == "agent" ? deployment_.agent(n).pid()
                                              : deployment_.endpoint(n).pid());
        return res;
    }

    /// Commits a change with the operators' command and gives its version.
    std::uint64_t change(json const& operations)
    {
        auto const file = deployment_.folder().write(
            fmt::format("change-{}.json", ++changes_), operations.dump());
        test_support::child_process command(
            {ENDIVEWARD_BINARY, "config", "apply", file, "--settings",
             deployment_.folder().path() / "router-0.toml", "--wait-ms", "0",
             "--author", "capacity"},
            deployment_.folder().path() /
                fmt::format("change-{}.log", changes_));
        command.start();
        if (!command.wait(std::chrono::seconds(60)) ||
            command.log().find("at version") == std::string::npos)
            throw std::runtime_error("config apply: " + command.log());
        return ++version_;
    }

    std::uint64_t version() const { return version_; }

    std::string operators_url(std::string const& role, std::size_t n) const
    {
        return role == "router" ? deployment_.router_operators_url(n)
                                : deployment_.agent_operators_url(n);
    }

    std::string ask(std::string const& role, std::size_t n,
                    std::string const& path) const
    {
        test_support::http_call call;
        call.url = operators_url(role, n) + path;
        call.headers["Authorization"] =
            "Bearer " + deployment_.operator_token();
        return test_support::send(call).body;
    }

    bool reports(std::string const& role, std::size_t n,
                 std::uint64_t version) const
    {
        // Agents do not serve /config.
        bool const router = role == "router";
        auto const answer = json::parse(
            ask(role, n, router ? "/config" : "/state/agent"), nullptr, false);
        return answer.is_object() &&
               answer.value(router ? "version" : "config_version", 0U) >=
                   version;
    }

    /// Sum over the routers of a series of `endiveward_wire_bytes_total`.
    double router_bytes(std::string const& kind,
                        std::string const& direction) const
    {
        double sum = 0;
        for (std::size_t n = 0; n < size_.routers; ++n)
        {
            std::istringstream text(ask("router", n, "/metrics"));
            for (std::string line; std::getline(text, line);)
                if (line.starts_with("endiveward_wire_bytes_total{") &&
                    line.find('"' + kind + '"') != std::string::npos &&
                    line.find('"' + direction + '"') != std::string::npos)
                    sum += std::stod(line.substr(line.rfind(' ')));
        }
        return sum;
    }

    /// Reads and transactions of the platform's table and object store.
    std::pair<double, double> platform_counts() const
    {
        auto const stats = deployment::stats(deployment_.platform_url());
        return {stats.at("reads").get<double>(),
                stats.at("transactions").get<double>()};
    }

private:
    static test_support::deployment_description describe(sizes const& size)
    {
        test_support::deployment_description res;
        res.routers = size.routers;
        for (std::size_t n = 0; n < size.agents; ++n)
        {
            test_support::endpoint_description it;
            it.id = fmt::format("e{}", n);
            it.zone = fmt::format("hall-{}", "abc"[n % 3]);
            it.capacity = size.capacity;
            it.options = {
                "--weights=m@1", "--prefill-bytes-per-s=1000000000",
                fmt::format("--token-interval-ms={}", size.token_interval_ms)};
            res.endpoints.push_back(it);
        }
        return res;
    }

    static json workspace(std::string const& id, std::string const& hash)
    {
        return {{"op", "put_workspace"},
                {"workspace",
                 {{"id", id},
                  {"labels", {{"size", "small"}}},
                  {"key_hashes", {hash}},
                  {"priority", 1}}}};
    }

    sizes size_;
    deployment deployment_;
    std::size_t changes_ = 0;
    std::uint64_t version_ = 0;
};

double cpu_of(std::vector<pid_t> const& pids)
{
    double sum = 0;
    for (auto const it : pids)
        sum += bench::usage_of(it).cpu_seconds;
    return sum;
}

double mean_resident(std::vector<pid_t> const& pids)
{
    double sum = 0;
    for (auto const it : pids)
        sum += static_cast<double>(bench::usage_of(it).resident_bytes);
    return sum / static_cast<double>(pids.size());
}

double most_resident(std::vector<pid_t> const& pids)
{
    std::uint64_t most = 0;
    for (auto const it : pids)
        most = std::max(most, bench::peak_resident_bytes(it));
    return static_cast<double>(most);
}

/// Control cost of all processes while something happens.
template <typename Function>
void measure_control(system_under_load& sut, sizes const& size,
                     std::string const& scenario, Function happen)
{
    auto const routers = sut.pids("router");
    auto const agents = sut.pids("agent");
    auto const sent = sut.router_bytes("control", "sent");
    auto const received = sut.router_bytes("control", "received");
    auto const [reads, writes] = sut.platform_counts();
    auto const router_cpu = cpu_of(routers);
    auto const agent_cpu = cpu_of(agents);
    auto const start = steady::now();
    happen();
    auto const time = since(start);
    auto const router_spent = cpu_of(routers) - router_cpu;
    auto const agent_spent = cpu_of(agents) - agent_cpu;
    auto const [reads_after, writes_after] = sut.platform_counts();
    auto const sent_after = sut.router_bytes("control", "sent");
    auto const received_after = sut.router_bytes("control", "received");
    auto const per_router = static_cast<double>(routers.size()) * time;
    auto const per_agent = static_cast<double>(agents.size()) * time;
    auto const text = size.text();
    row(scenario, text, "all", "wall", time, "s");
    row(scenario, text, "router", "cpu_share", router_spent / per_router,
        "cores");
    row(scenario, text, "agent", "cpu_share", agent_spent / per_agent, "cores");
    row(scenario, text, "router", "control_sent",
        (sent_after - sent) / per_router, "B/s");
    row(scenario, text, "router", "control_received",
        (received_after - received) / per_router, "B/s");
    // Agents have no other peers than the routers.
    row(scenario, text, "agent", "control_sent",
        (received_after - received) / per_agent, "B/s");
    row(scenario, text, "agent", "control_received",
        (sent_after - sent) / per_agent, "B/s");
    row(scenario, text, "platform", "reads", (reads_after - reads) / time,
        "1/s");
    row(scenario, text, "platform", "transactions",
        (writes_after - writes) / time, "1/s");
    row(scenario, text, "router", "resident", mean_resident(routers), "B");
    row(scenario, text, "agent", "resident", mean_resident(agents), "B");
    row(scenario, text, "router", "resident_peak", most_resident(routers), "B");
    row(scenario, text, "agent", "resident_peak", most_resident(agents), "B");
}

/// Seconds from the start of `config apply` until each process reports it.
std::vector<double> spread(system_under_load& sut, sizes const& size,
                           std::string const& role)
{
    auto const count = role == "router" ? size.routers : size.agents;
    std::vector<double> times(count, 0.0);
    auto const start = steady::now();
    auto const version = sut.version() + 1;
    std::thread operation(
        [&]
        {
            sut.change({{{"op", "set_label"},
                         {"kind", "workspace"},
                         {"id", "capacity"},
                         {"key", "round"},
                         {"value", std::to_string(version)}}});
        });
    constexpr double limit = 45;
    for (std::size_t open = count; open > 0 && since(start) < limit;)
    {
        for (std::size_t n = 0; n < count; ++n)
            if (times[n] == 0.0 && sut.reports(role, n, version))
            {
                times[n] = since(start);
                --open;
            }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    operation.join();
    for (auto& it : times)
        if (it == 0.0)
            it = limit;
    std::sort(times.begin(), times.end());
    return times;
}

void measure_spread(system_under_load& sut, sizes const& size)
{
    for (auto const* role : {"router", "agent"})
    {
        auto const times = spread(sut, size, role);
        row("spread", size.text(), role, "median", times[times.size() / 2],
            "s");
        row("spread", size.text(), role, "last", times.back(), "s");
    }
}

void run_control(sizes const& size)
{
    system_under_load sut(size);
    sut.list_vms();
    row("idle", size.text(), "platform", "vm_list", sut.vm_list_bytes(), "B");
    // Lets connections open and heartbeats begin.
    std::this_thread::sleep_for(std::chrono::seconds(3));
    measure_control(
        sut, size, "idle",
        [&]
        { std::this_thread::sleep_for(std::chrono::seconds(size.seconds)); });
    measure_control(sut, size, "change", [&] { measure_spread(sut, size); });
}

/// Prompts differ in their first block, so that they spread over the agents.
std::atomic<std::uint64_t> next_prompt{0};

std::string body_for(std::size_t tokens, bool streaming)
{
    return json{{"model", "m"},
                {"prompt",
                 fmt::format("{:016}", ++next_prompt) + std::string(4080, 'a')},
                {"max_tokens", tokens},
                {"cache_salt", std::string(32, '1')},
                {"stream", streaming}}
        .dump();
}

std::atomic<std::uint64_t> next_stream{0};

test_support::http_call completion(std::string const& url, std::size_t tokens,
                                   bool streaming)
{
    test_support::http_call call;
    call.method = "POST";
    call.url = url + "/v1/completions";
    call.body = body_for(tokens, streaming);
    call.headers = {{"Authorization", std::string("Bearer ") + api_key},
                    {"Content-Type", "application/json"},
                    {"X-Model-Version", "1"},
                    {"X-Stream-Id", fmt::format("{:032x}", ++next_stream)}};
    return call;
}

struct load_result
{
    std::size_t complete = 0;
    std::size_t failed = 0;
    double seconds = 0;
    std::vector<double> latencies;
};

load_result drive(std::function<std::string(std::size_t)> const& url_of,
                  std::size_t clients, std::size_t tokens, double limit)
{
    load_result res;
    std::mutex mutex;
    std::vector<std::thread> threads;
    auto const start = steady::now();
    for (std::size_t n = 0; n < clients; ++n)
        threads.emplace_back(
            [&, n]
            {
                while (since(start) < limit)
                {
                    auto const begin = steady::now();
                    auto const answer =
                        test_support::send(completion(url_of(n), tokens, true));
                    std::lock_guard const lock(mutex);
                    if (answer.complete && answer.status == 200)
                    {
                        ++res.complete;
                        res.latencies.push_back(since(begin));
                    }
                    else if (res.failed++ == 0)
                        std::cerr << answer.status << ' ' << answer.failure
                                  << ' ' << answer.body.substr(0, 300) << '\n';
                }
            });
    for (auto& it : threads)
        it.join();
    res.seconds = since(start);
    std::sort(res.latencies.begin(), res.latencies.end());
    return res;
}

double quantile(std::vector<double> const& sorted, double share)
{
    if (sorted.empty())
        return 0;
    return sorted[static_cast<std::size_t>(
        share * static_cast<double>(sorted.size() - 1))];
}

void report_load(std::string const& scenario, std::string const& size,
                 load_result const& res, std::size_t tokens)
{
    row(scenario, size, "client", "requests",
        static_cast<double>(res.complete) / res.seconds, "1/s");
    row(scenario, size, "client", "tokens",
        static_cast<double>(res.complete * tokens) / res.seconds, "1/s");
    row(scenario, size, "client", "failed", static_cast<double>(res.failed),
        "count");
    row(scenario, size, "client", "latency_p50", quantile(res.latencies, 0.5),
        "s");
    row(scenario, size, "client", "latency_p95", quantile(res.latencies, 0.95),
        "s");
}

/// Calls carry the configuration to the agents.
void warm_up(system_under_load& sut, sizes const& size)
{
    test_support::wait_until([&] { return sut.reports("router", 0, 1); });
    test_support::wait_until(
        [&]
        {
            drive([&](std::size_t) { return sut.processes().router_url(0); }, 8,
                  1, 0.5);
            std::size_t ready = 0;
            for (std::size_t n = 0; n < size.agents; ++n)
                ready += sut.reports("agent", n, 1) ? 1 : 0;
            return ready == size.agents;
        });
}

void run_relay(sizes const& size, std::size_t clients)
{
    system_under_load sut(size);
    auto& processes = sut.processes();
    auto const through = [&](std::size_t) { return processes.router_url(0); };
    auto const direct = [&](std::size_t n)
    { return processes.endpoint_url(n % size.agents); };
    auto const limit = static_cast<double>(size.seconds);
    warm_up(sut, size);
    for (auto const& [name, url_of, count] :
         {std::tuple{"latency_direct", std::function(direct), std::size_t{1}},
          std::tuple{"latency_router",
                     std::function<std::string(std::size_t)>(through),
                     std::size_t{1}}})
        report_load(name, "1 token", drive(url_of, count, 1, limit), 1);
    for (std::size_t const tokens : {1U, 16U, 64U, 256U})
    {
        auto const text = fmt::format("{} tokens/{} clients", tokens, clients);
        for (bool const routed : {false, true})
        {
            std::string const name = routed ? "relay" : "direct";
            std::map<std::string, double> before;
            for (auto const* role : {"router", "agent", "engine"})
                before[role] = cpu_of(sut.pids(role));
            auto const own = bench::own_cpu_seconds();
            auto const res = routed ? drive(through, clients, tokens, limit)
                                    : drive(direct, clients, tokens, limit);
            report_load(name, text, res, tokens);
            row(name, text, "client", "cpu",
                (bench::own_cpu_seconds() - own) / res.seconds, "cores");
            for (auto const* role : {"router", "agent", "engine"})
            {
                auto const spent = cpu_of(sut.pids(role)) - before[role];
                row(name, text, role, "cpu", spent / res.seconds, "cores");
                row(name, text, role, "cpu_per_request",
                    spent / static_cast<double>(res.complete) * 1e6, "cpu_us");
            }
        }
    }
}

/// Resident memory while a number of streams is open.
void run_streams(sizes const& size)
{
    system_under_load sut(size);
    auto& processes = sut.processes();
    warm_up(sut, size);
    std::atomic<bool> ending{false};
    std::atomic<std::size_t> open{0};
    std::atomic<std::size_t> failed{0};
    std::vector<std::thread> threads;
    for (std::size_t const target : {0U, 50U, 100U, 200U, 400U})
    {
        while (threads.size() < target)
            threads.emplace_back(
                [&]
                {
                    auto call = completion(processes.router_url(0), 600, true);
                    bool first = true;
                    call.on_data = [&](std::string_view)
                    {
                        if (std::exchange(first, false))
                            ++open;
                        return !ending;
                    };
                    auto const answer = test_support::send(call);
                    if (!ending || answer.status != 200)
                        ++failed;
                });
        test_support::wait_until([&] { return open + failed >= target; },
                                 std::chrono::milliseconds(15'000));
        std::this_thread::sleep_for(std::chrono::seconds(2));
        auto const text = fmt::format("{} streams", target);
        row("streams", text, "client", "open", static_cast<double>(open),
            "count");
        row("streams", text, "client", "failed", static_cast<double>(failed),
            "count");
        for (auto const* role : {"router", "agent"})
            row("streams", text, role, "resident",
                mean_resident(sut.pids(role)), "B");
    }
    ending = true;
    for (auto& it : threads)
        it.join();
}

/// Restarts one agent, then all routers at once.
void run_restart(sizes const& size)
{
    system_under_load sut(size);
    auto& processes = sut.processes();
    auto const text = size.text();
    auto const all_report = [&](std::string const& role, std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n)
            if (!sut.reports(role, n, sut.version()))
                return false;
        return true;
    };
    if (!test_support::wait_until(
            [&]
            {
                return all_report("router", size.routers) &&
                       all_report("agent", size.agents);
            }))
        throw std::runtime_error("the configuration does not spread");
    std::this_thread::sleep_for(std::chrono::seconds(2));
    auto const sent = sut.router_bytes("control", "sent");
    auto start = steady::now();
    processes.agent(0).kill();
    processes.agent(0).start();
    test_support::wait_until([&] { return all_report("agent", 1); });
    row("restart_agent", text, "agent", "version_after", since(start), "s");
    // Every router retries at the latest after 5 s.
    std::this_thread::sleep_for(std::chrono::seconds(8));
    row("restart_agent", text, "agent", "control_received",
        sut.router_bytes("control", "sent") - sent, "B");
    row("restart_agent", text, "agent", "cpu",
        bench::usage_of(processes.agent(0).pid()).cpu_seconds, "cpu_s");
    row("restart_agent", text, "agent", "resident",
        mean_resident({processes.agent(0).pid()}), "B");

    auto const [reads, writes] = sut.platform_counts();
    for (std::size_t n = 0; n < size.routers; ++n)
        processes.router(n).kill();
    start = steady::now();
    for (std::size_t n = 0; n < size.routers; ++n)
        processes.router(n).start();
    test_support::wait_until([&]
                             { return all_report("router", size.routers); });
    auto const time = since(start);
    auto const [reads_after, writes_after] = sut.platform_counts();
    row("restart_routers", text, "router", "version_after_last", time, "s");
    row("restart_routers", text, "platform", "reads", reads_after - reads,
        "count");
    row("restart_routers", text, "platform", "transactions",
        writes_after - writes, "count");
    row("restart_routers", text, "router", "cpu",
        cpu_of(sut.pids("router")) / static_cast<double>(size.routers),
        "cpu_s");
    std::this_thread::sleep_for(std::chrono::seconds(8));
    row("restart_routers", text, "router", "control_received",
        sut.router_bytes("control", "received") /
            static_cast<double>(size.routers),
        "B");
    row("restart_routers", text, "router", "control_sent",
        sut.router_bytes("control", "sent") / static_cast<double>(size.routers),
        "B");
    row("restart_routers", text, "router", "resident",
        mean_resident(sut.pids("router")), "B");
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("capacity_processes",
                             "Measures real processes with stand-ins.");
    options.add_options()                                                   //
        ("scenario", "control, relay, restart or streams",                  //
         cxxopts::value<std::string>()->default_value("control"))           //
        ("routers", "", cxxopts::value<std::size_t>()->default_value("1"))  //
        ("agents", "", cxxopts::value<std::size_t>()->default_value("8"))   //
        ("workspaces", "",                                                  //
         cxxopts::value<std::size_t>()->default_value("0"))                 //
        ("vms", "further entries of the VM list",                           //
         cxxopts::value<std::size_t>()->default_value("0"))                 //
        ("seconds", "of each measurement",                                  //
         cxxopts::value<std::size_t>()->default_value("60"))                //
        ("clients", "", cxxopts::value<std::size_t>()->default_value("32")) //
        ("capacity", "of each engine",                                      //
         cxxopts::value<std::int64_t>()->default_value("16"))               //
        ("token-interval-ms", "",                                           //
         cxxopts::value<std::int64_t>()->default_value("5"));
    options.positional_help("");
    try
    {
        auto const args = options.parse(argc, argv);
        sizes size;
        size.routers = args["routers"].as<std::size_t>();
        size.agents = args["agents"].as<std::size_t>();
        size.workspaces = args["workspaces"].as<std::size_t>();
        size.vms = args["vms"].as<std::size_t>();
        size.seconds = args["seconds"].as<std::size_t>();
        size.capacity = args["capacity"].as<std::int64_t>();
        size.token_interval_ms = args["token-interval-ms"].as<std::int64_t>();
        auto const scenario = args["scenario"].as<std::string>();
        std::cout << "scenario,size,role,quantity,value,unit\n";
        if (scenario == "control")
            run_control(size);
        else if (scenario == "relay")
            run_relay(size, args["clients"].as<std::size_t>());
        else if (scenario == "streams")
            run_streams(size);
        else if (scenario == "restart")
            run_restart(size);
        else
            throw std::runtime_error("unknown scenario " + scenario);
        return 0;
    }
    catch (std::exception const& ex)
    {
        std::cerr << ex.what() << '\n';
        return 1;
    }
}
