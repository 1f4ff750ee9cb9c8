#ifndef ENDIVEWARD_TEST_SUPPORT_SETTINGS_FILE_HPP
#define ENDIVEWARD_TEST_SUPPORT_SETTINGS_FILE_HPP

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace endiveward::test_support
{

using setting_value = std::variant<std::int64_t, double, bool, std::string>;
/// Further settings: table, key, value.
using setting_map = std::map<std::string, std::map<std::string, setting_value>>;

/// Settings that both binaries have. Addresses are written `127.0.0.1:8080`.
struct common_file
{
    std::string name;
    std::string region;
    std::string zone;
    std::string peers;
    std::string operators;
    std::string key_file;
    std::string token_file;
    /// Base URL of the platform stand-in; empty leaves the platform out.
    std::string platform_url;
    std::vector<std::string> seeds;
    setting_map more;
};

struct router_file
{
    common_file common;
    std::string callers;
};

struct agent_file
{
    common_file common;
    std::string endpoint;
    /// Set for a plain service.
    std::string service;
    std::string endpoint_url;
    bool checks_fencing = true;
    std::int64_t capacity = 16;
};

/// The TOML text of a settings file (docs/design.md, section 8.5).
std::string to_toml(router_file const& settings);
std::string to_toml(agent_file const& settings);

} // namespace endiveward::test_support

#endif
