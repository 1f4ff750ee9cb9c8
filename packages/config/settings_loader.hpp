#ifndef ENDIVEWARD_CONFIG_SETTINGS_LOADER_HPP
#define ENDIVEWARD_CONFIG_SETTINGS_LOADER_HPP

#include "kernel/types/result.hpp"

#include <string>

namespace endiveward::config
{

struct agent_settings;
struct router_settings;

/// Reads and validates a TOML file. Unknown keys are rejected. Errors have kind
/// `invalid_settings` and name file, line, key and remedy.
kernel::result<router_settings> load_router_settings(std::string const& path);
kernel::result<agent_settings> load_agent_settings(std::string const& path);

} // namespace endiveward::config

#endif
