#ifndef ENDIVEWARD_CONFIG_TYPES_CONFIG_DATA_HPP
#define ENDIVEWARD_CONFIG_TYPES_CONFIG_DATA_HPP

#include "config/types/endpoint_entry.hpp"
#include "config/types/model_entry.hpp"
#include "config/types/move_entry.hpp"
#include "config/types/rule_entry.hpp"
#include "config/types/service_entry.hpp"
#include "config/types/workspace_entry.hpp"
#include "kernel/types/identifiers.hpp"

#include <map>
#include <memory>
#include <string>

namespace endiveward::config
{

/// Identifies a committed change.
struct change_info
{
    kernel::config_version version = 0;
    std::string id;
    std::string author;

    bool operator==(change_info const&) const = default;
};

/// The content of a configuration. Versions share their entries, so that copies
/// are cheap.
struct config_data
{
    template <typename Entry>
    using entries = std::map<std::string, std::shared_ptr<Entry const>>;

    kernel::config_version version = 0;
    entries<endpoint_entry> endpoints;
    entries<workspace_entry> workspaces;
    entries<model_entry> models;
    entries<service_entry> services;
    entries<rule_entry> rules;
    entries<move_entry> moves;
    /// The last change of each object by `<kind>/<id>`; kept for deleted
    /// objects, so that a conflict with a deletion can name its author.
    std::map<std::string, std::shared_ptr<change_info const>> last_changes;
    /// Workspace ids by hash of the API key.
    std::map<std::string, std::string> key_owners;
};

} // namespace endiveward::config

#endif
