#ifndef ENDIVEWARD_TEST_SUPPORT_DEPLOYMENT_HPP
#define ENDIVEWARD_TEST_SUPPORT_DEPLOYMENT_HPP

#include "support/child_process.hpp"
#include "support/settings_file.hpp"
#include "support/tcp_relay.hpp"
#include "support/temp_folder.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace endiveward::test_support
{

/// An endpoint with its agent.
struct endpoint_description
{
    std::string id;
    std::string zone = "hall-a";
    /// Empty for an engine.
    std::string service;
    /// Further options of the stand-in, for example `--weights=m@v1`.
    std::vector<std::string> options;
    bool checks_fencing = true;
    std::int64_t capacity = 16;
    setting_map agent_settings;
    bool with_agent = true;
    /// Routers reach the agent through a `tcp_relay`.
    bool relayed = false;
};

struct deployment_description
{
    std::string region = "be-central";
    /// Routers take the zones in turn.
    std::vector<std::string> zones{"hall-a", "hall-b", "hall-c"};
    std::size_t routers = 1;
    std::vector<endpoint_description> endpoints;
    std::vector<std::string> platform_options;
    setting_map router_settings;
};

/// Platform stand-in, endpoints with agents, and routers on loopback, each a
/// process of its own. Throws `std::runtime_error` with the log of a process
/// that does not start.
class deployment
{
public:
    explicit deployment(deployment_description what);

    child_process& platform() { return *platform_.process; }
    child_process& endpoint(std::size_t n) { return *endpoints_[n].process; }
    child_process& agent(std::size_t n) { return *agents_[n].process; }
    /// Of an endpoint with `relayed`.
    tcp_relay& relay(std::size_t n) { return *agents_[n].relay; }
    child_process& router(std::size_t n) { return *routers_[n].process; }

    std::string const& platform_url() const { return platform_.url; }
    std::string const& endpoint_url(std::size_t n) const
    {
        return endpoints_[n].url;
    }
    /// For callers.
    std::string const& router_url(std::size_t n) const
    {
        return routers_[n].url;
    }
    std::string const& router_operators_url(std::size_t n) const
    {
        return routers_[n].operators_url;
    }
    std::string const& agent_operators_url(std::size_t n) const
    {
        return agents_[n].operators_url;
    }
    /// `ADDRESS:PORT` of the agent's operators' listener.
    std::string agent_operators_address(std::size_t n) const;
    std::string const& router_settings(std::size_t n) const
    {
        return routers_[n].settings_file;
    }
    std::size_t router_count() const { return routers_.size(); }

    /// Waits until a process that was started again is ready, or throws.
    void wait_until_agent_ready(std::size_t n) { wait_until_ready(agents_[n]); }
    void wait_until_router_ready(std::size_t n)
    {
        wait_until_ready(routers_[n]);
    }

    /// A section of the state dump behind an operators' listener; null if it
    /// does not answer.
    nlohmann::json state(std::string const& operators_url,
                         std::string const& section) const;
    /// Version in force in a process; 0 if it does not answer.
    std::uint64_t version(std::string const& operators_url) const;
    /// A process that runs `endiveward config apply` with the operations.
    std::unique_ptr<child_process>
    make_apply(std::string const& name, nlohmann::json const& operations,
               std::vector<std::string> const& options = {});
    /// Commits operations and waits until the routers, all if none is named,
    /// have the version in force. Gives the version, or throws.
    std::uint64_t commit(nlohmann::json const& operations,
                         std::vector<std::size_t> const& routers = {});

    std::string const& operator_token() const { return operator_token_; }
    temp_folder const& folder() const { return folder_; }

    /// Operates a stand-in's switch, or throws.
    static void operate(std::string const& stand_in_url,
                        std::string const& what,
                        nlohmann::json const& body = nlohmann::json::object());
    static nlohmann::json stats(std::string const& stand_in_url);

private:
    struct member
    {
        std::unique_ptr<child_process> process;
        std::unique_ptr<tcp_relay> relay;
        std::string url;
        std::string operators_url;
        std::string peers;
        std::string ready_url;
        std::string settings_file;
    };

    member make_stand_in(std::string const& program, std::string const& name,
                         std::string const& ready_path,
                         std::vector<std::string> const& options);
    member make_endpoint(endpoint_description const& what);
    member make_agent(endpoint_description const& what,
                      std::string const& endpoint_url);
    member make_router(std::size_t n);
    common_file common_settings(std::string const& name,
                                std::string const& zone, member& made);
    std::unique_ptr<child_process>
    make_process(std::string const& name, std::vector<std::string> arguments);
    void list_vm(std::string const& name, std::string const& role,
                 std::string const& zone, std::string const& endpoint,
                 std::string const& peers);
    static void start(member& made);
    static void wait_until_ready(member& made);

    deployment_description what_;
    temp_folder folder_;
    std::string operator_token_ = "operator-token-for-tests";
    std::string key_file_;
    std::string token_file_;
    member platform_;
    std::vector<member> endpoints_;
    std::vector<member> agents_;
    std::vector<member> routers_;
    std::size_t commits_ = 0;
};

} // namespace endiveward::test_support

#endif
