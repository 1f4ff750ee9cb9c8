#ifndef ENDIVEWARD_CONFIG_TYPES_WORKSPACE_ENTRY_HPP
#define ENDIVEWARD_CONFIG_TYPES_WORKSPACE_ENTRY_HPP

#include "config/types/label_set.hpp"
#include "kernel/types/identifiers.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace endiveward::config
{

/// A workspace and its API keys.
struct workspace_entry
{
    kernel::workspace_id id;
    label_set labels;
    /// SHA-256 of the API keys, 64 lower-case hexadecimal digits each.
    std::vector<std::string> key_hashes;
    /// Lower values are more urgent.
    std::uint8_t priority = 1;
    /// Whether completions without an idempotency key must not be retried.
    bool completions_at_most_once = false;

    bool operator==(workspace_entry const&) const = default;
};

} // namespace endiveward::config

#endif
