#ifndef ENDIVEWARD_CONFIG_APPLY_CHANGE_HPP
#define ENDIVEWARD_CONFIG_APPLY_CHANGE_HPP

#include "config/types/change.hpp"
#include "config/types/config_data.hpp"
#include "kernel/types/result.hpp"

#include <set>
#include <string>
#include <string_view>

namespace endiveward::config
{

std::string_view to_string(object_kind kind);

/// `<kind>/<id>`
std::string object_key(object_kind kind, std::string_view id);

/// Keys of the objects that the change affects.
std::set<std::string> affected_objects(change const& candidate);

/// Version of the last change of an object; 0 if it never existed.
kernel::config_version object_version(config_data const& data,
                                      std::string const& object);

/// Validates the operations in order and applies them as version
/// `data.version + 1`. `seen` is not checked. Errors have kind
/// `invalid_request` or `not_found` and leave `data` in an unspecified state.
kernel::result<kernel::done> apply_change(config_data& data,
                                          change const& candidate);

} // namespace endiveward::config

#endif
