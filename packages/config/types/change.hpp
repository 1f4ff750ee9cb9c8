#ifndef ENDIVEWARD_CONFIG_TYPES_CHANGE_HPP
#define ENDIVEWARD_CONFIG_TYPES_CHANGE_HPP

#include "config/types/change_operation.hpp"
#include "kernel/types/identifiers.hpp"

#include <map>
#include <string>
#include <vector>

namespace endiveward::config
{

/// An operator's change. All operations take effect together or none does.
struct change
{
    /// UUID made by the client; commits at most once.
    std::string id;
    std::string author;
    std::vector<change_operation> operations;
    /// For each object that the change touches (`<kind>/<id>`) the version
    /// that the operator saw; 0 means that it did not exist.
    std::map<std::string, kernel::config_version> seen;

    bool operator==(change const&) const = default;
};

} // namespace endiveward::config

#endif
