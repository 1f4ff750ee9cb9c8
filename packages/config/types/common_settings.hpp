#ifndef ENDIVEWARD_CONFIG_TYPES_COMMON_SETTINGS_HPP
#define ENDIVEWARD_CONFIG_TYPES_COMMON_SETTINGS_HPP

#include "kernel/types/identifiers.hpp"
#include "kernel/types/socket_address.hpp"
#include "wire/types/cluster_key.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace endiveward::config
{

enum class log_format : std::uint8_t
{
    text,
    json
};

/// Settings that routers and agents have in common.
struct common_settings
{
    // [process]
    kernel::process_id name;
    kernel::region_id region;
    kernel::zone_id zone;

    // [listen]
    /// Listen address for other routers and agents (`peers`).
    kernel::socket_address listen_peers;
    /// Listen address of the operators' HTTP API (`operators`).
    kernel::socket_address listen_operators;

    // [cluster] key_file or key_env
    wire::cluster_key cluster_key;

    // [operators] token_file or token_env
    std::string operator_token;

    // [platform]; an empty URL means that the service is not available
    std::string table_url;
    std::string object_store_url;
    std::string vm_list_url;
    std::chrono::milliseconds platform_timeout{1000};

    // [members]
    /// Peer addresses of the routers and agents to contact at startup.
    std::vector<kernel::socket_address> seeds;

    // [log]
    std::string log_level = "info";
    log_format format = log_format::text;

    // [threads]
    std::size_t traffic_threads = 2;
};

} // namespace endiveward::config

#endif
