#ifndef ENDIVEWARD_CONFIG_TYPES_SERVICE_ENTRY_HPP
#define ENDIVEWARD_CONFIG_TYPES_SERVICE_ENTRY_HPP

#include "config/types/label_set.hpp"
#include "kernel/types/identifiers.hpp"

#include <string>
#include <vector>

namespace endiveward::config
{

/// An operation of a plain service. A path that ends in `*` matches all paths
/// with that prefix.
struct service_operation
{
    std::string method;
    std::string path;

    bool operator==(service_operation const&) const = default;
};

/// A plain service. Operations that are not listed must not be retried.
struct service_entry
{
    kernel::service_id id;
    label_set labels;
    std::vector<service_operation> idempotent_operations;

    bool operator==(service_entry const&) const = default;
};

} // namespace endiveward::config

#endif
