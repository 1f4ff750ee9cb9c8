#ifndef ENDIVEWARD_CONFIG_CONFIG_JSON_HPP
#define ENDIVEWARD_CONFIG_CONFIG_JSON_HPP

#include "config/types/change.hpp"
#include "config/types/config_data.hpp"
#include "kernel/types/result.hpp"

#include <nlohmann/json_fwd.hpp>

#include <string_view>
#include <vector>

namespace endiveward::config
{

/// Conversion from and to JSON. Parsers reject unknown fields; their errors
/// have kind `invalid_request` and name the field.
///
/// A change: {"id", "author", "operations": [...], "seen": {object: version}}.
/// Operations: {"op": "put_<kind>", "<kind>": {...}}, {"op": "delete_<kind>",
/// "id"}, {"op": "set_label" or "remove_label", "kind", "id", "version" (models
/// only), "key", "value"}, {"op": "set_stage", "move", "stage"}, where <kind>
/// is endpoint, workspace, model, service, rule or move.
nlohmann::json to_json(change_operation const& operation);
nlohmann::json to_json(change const& value);
kernel::result<change> parse_change(std::string_view text);

/// An array of operations, or an object with the field "operations".
kernel::result<std::vector<change_operation>>
parse_operations(std::string_view text);

/// The whole configuration.
nlohmann::json to_json(config_data const& data);
kernel::result<config_data> parse_config_data(std::string_view text);

} // namespace endiveward::config

#endif
