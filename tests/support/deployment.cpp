#include "support/deployment.hpp"

#include "support/http_client.hpp"
#include "support/wait.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <string_view>

namespace endiveward::test_support
{

namespace
{

using nlohmann::json;

std::string program_path(std::string const& name)
{
    return std::string(ENDIVEWARD_BINARY_DIR) + "/" + name;
}

std::string loopback(std::uint16_t port)
{
    return fmt::format("127.0.0.1:{}", port);
}

std::uint16_t port_of(std::string const& address)
{
    return static_cast<std::uint16_t>(
        std::stoi(address.substr(address.rfind(':') + 1)));
}

} // namespace

deployment::deployment(deployment_description what)
    : what_(std::move(what))
    , key_file_(folder_.write("cluster.key", std::string(32, 'k')))
    , token_file_(folder_.write("operator.token", operator_token_))
    , platform_(make_stand_in("platform_stand_in", "platform", "/v1/vms",
                              what_.platform_options))
{
    start(platform_);
    wait_until_ready(platform_);
    for (auto const& it : what_.endpoints)
    {
        endpoints_.push_back(make_endpoint(it));
        start(endpoints_.back());
    }
    for (auto& it : endpoints_)
        wait_until_ready(it);
    for (std::size_t n = 0; n < what_.endpoints.size(); ++n)
    {
        if (!what_.endpoints[n].with_agent)
        {
            agents_.emplace_back();
            continue;
        }
        agents_.push_back(make_agent(what_.endpoints[n], endpoints_[n].url));
        start(agents_.back());
    }
    for (std::size_t n = 0; n < what_.routers; ++n)
    {
        routers_.push_back(make_router(n));
        start(routers_.back());
    }
    for (auto& it : agents_)
        if (it.process)
            wait_until_ready(it);
    for (auto& it : routers_)
        wait_until_ready(it);
}

void deployment::operate(std::string const& stand_in_url,
                         std::string const& what, json const& body)
{
    auto const answer = post(stand_in_url + "/admin/" + what, body.dump());
    // A stand-in that crashes on order does not answer.
    if (answer.status != 200 && what != "crash")
        throw std::runtime_error(fmt::format("switch {}: status {} {}", what,
                                             answer.status, answer.failure));
}

json deployment::stats(std::string const& stand_in_url)
{
    return json::parse(get(stand_in_url + "/admin/stats").body);
}

std::string deployment::agent_operators_address(std::size_t n) const
{
    return agents_[n].operators_url.substr(std::string_view("http://").size());
}

json deployment::state(std::string const& operators_url,
                       std::string const& section) const
{
    http_call call;
    call.url = operators_url + "/state/" + section;
    call.headers["Authorization"] = "Bearer " + operator_token_;
    auto const answer = send(call);
    return answer.status == 200 ? json::parse(answer.body) : json();
}

std::uint64_t deployment::version(std::string const& operators_url) const
{
    auto const config = state(operators_url, "config");
    return config.is_object() ? config.value("version", std::uint64_t{0}) : 0;
}

std::unique_ptr<child_process>
deployment::make_apply(std::string const& name, json const& operations,
                       std::vector<std::string> const& options)
{
    auto const file =
        folder_.write(name + ".json", json{{"operations", operations}}.dump());
    std::string agents;
    for (std::size_t n = 0; n < agents_.size(); ++n)
        if (agents_[n].process)
            agents += (agents.empty() ? "" : ",") + agent_operators_address(n);
    std::vector<std::string> arguments{
        program_path("endiveward"),   "config", "apply",    file, "--settings",
        routers_.at(0).settings_file, "--json", "--author", name};
    if (!agents.empty())
        arguments.push_back("--confirm=" + agents);
    arguments.insert(arguments.end(), options.begin(), options.end());
    return make_process(name, std::move(arguments));
}

std::uint64_t deployment::commit(json const& operations,
                                 std::vector<std::size_t> const& routers)
{
    // The caller waits for the routers; agents catch up with the first call.
    auto const apply = make_apply(fmt::format("commit-{}", ++commits_),
                                  operations, {"--wait-ms=0"});
    apply->start();
    apply->wait(long_limit);
    auto const printed = json::parse(apply->log(), nullptr, false);
    if (!printed.is_object() || !printed.contains("version"))
        throw std::runtime_error("not committed: " + apply->log());
    auto const wanted = printed["version"].get<std::uint64_t>();
    for (std::size_t n = 0; n < routers_.size(); ++n)
    {
        bool const awaited =
            routers.empty() ||
            std::find(routers.begin(), routers.end(), n) != routers.end();
        auto const& url = routers_[n].operators_url;
        if (awaited && !wait_until([&] { return version(url) >= wanted; }))
            throw std::runtime_error(
                fmt::format("version {} does not reach {}", wanted, url));
    }
    return wanted;
}

deployment::member
deployment::make_stand_in(std::string const& program, std::string const& name,
                          std::string const& ready_path,
                          std::vector<std::string> const& options)
{
    member made;
    std::string const address = loopback(free_port());
    made.url = "http://" + address;
    made.ready_url = made.url + ready_path;
    std::vector<std::string> arguments{program_path(program),
                                       "--listen=" + address};
    arguments.insert(arguments.end(), options.begin(), options.end());
    made.process = make_process(name, std::move(arguments));
    return made;
}

deployment::member deployment::make_endpoint(endpoint_description const& what)
{
    if (!what.service.empty())
        return make_stand_in("service_stand_in", "service-" + what.id,
                             "/admin/stats", what.options);
    auto options = what.options;
    options.push_back("--weights-url=" + platform_.url);
    options.push_back(fmt::format("--capacity={}", what.capacity));
    options.push_back(what.checks_fencing ? "--fencing=checked"
                                          : "--fencing=unchecked");
    return make_stand_in("engine_stand_in", "engine-" + what.id, "/v1/load",
                         options);
}

deployment::member deployment::make_agent(endpoint_description const& what,
                                          std::string const& endpoint_url)
{
    member made;
    std::string const name = "agent-" + what.id;
    agent_file settings;
    settings.common = common_settings(name, what.zone, made);
    settings.common.more = what.agent_settings;
    settings.endpoint = what.id;
    settings.service = what.service;
    settings.endpoint_url = endpoint_url;
    settings.checks_fencing = what.checks_fencing;
    settings.capacity = what.capacity;
    auto const file = folder_.write(name + ".toml", to_toml(settings));
    made.process = make_process(
        name, {program_path("endiveward-agent"), "--settings", file});
    if (what.relayed)
    {
        made.relay = std::make_unique<tcp_relay>(port_of(made.peers));
        made.peers = loopback(made.relay->port());
    }
    list_vm(name, "agent", what.zone, what.id, made.peers);
    return made;
}

deployment::member deployment::make_router(std::size_t n)
{
    member made;
    std::string const name = fmt::format("router-{}", n);
    std::string const& zone = what_.zones[n % what_.zones.size()];
    router_file settings;
    settings.common = common_settings(name, zone, made);
    settings.common.more = what_.router_settings;
    settings.callers = loopback(free_port());
    made.url = "http://" + settings.callers;
    made.settings_file = folder_.write(name + ".toml", to_toml(settings));
    made.process = make_process(name, {program_path("endiveward"), "run",
                                       "--settings", made.settings_file});
    list_vm(name, "router", zone, "", made.peers);
    return made;
}

common_file deployment::common_settings(std::string const& name,
                                        std::string const& zone, member& made)
{
    common_file common;
    common.name = name;
    common.region = what_.region;
    common.zone = zone;
    common.peers = made.peers = loopback(free_port());
    common.operators = loopback(free_port());
    common.key_file = key_file_;
    common.token_file = token_file_;
    common.platform_url = platform_.url;
    for (auto const& it : agents_)
        if (!it.peers.empty())
            common.seeds.push_back(it.peers);
    made.operators_url = "http://" + common.operators;
    made.ready_url = made.operators_url + "/healthz";
    return common;
}

std::unique_ptr<child_process>
deployment::make_process(std::string const& name,
                         std::vector<std::string> arguments)
{
    return std::make_unique<child_process>(std::move(arguments),
                                           folder_.path() / (name + ".log"));
}

void deployment::list_vm(std::string const& name, std::string const& role,
                         std::string const& zone, std::string const& endpoint,
                         std::string const& peers)
{
    json vm{{"id", name},
            {"role", role},
            {"address", peers.substr(0, peers.rfind(':'))},
            {"port", port_of(peers)},
            {"region", what_.region},
            {"zone", zone},
            {"endpoint", endpoint},
            {"leaving", false}};
    operate(platform_.url, "vm_put", vm);
}

void deployment::start(member& made)
{
    made.process->start();
}

void deployment::wait_until_ready(member& made)
{
    bool const ended_or_ready = wait_until(
        [&made] {
            return !made.process->running() ||
                   get(made.ready_url).status == 200;
        });
    if (!ended_or_ready || !made.process->running())
        throw std::runtime_error("not serving " + made.ready_url + ": " +
                                 made.process->log());
}

} // namespace endiveward::test_support
