#ifndef ENDIVEWARD_CONFIG_TYPES_RULE_ENTRY_HPP
#define ENDIVEWARD_CONFIG_TYPES_RULE_ENTRY_HPP

#include <cstdint>
#include <string>

namespace endiveward::config
{

/// The three selectors of a rule. `models` is matched against the labels of a
/// model version or, for calls to a plain service, of the service.
struct rule_selectors
{
    std::string workspaces;
    std::string models;
    std::string endpoints;

    bool operator==(rule_selectors const&) const = default;
};

/// A base rule. Rules are evaluated in ascending `order`, then by id.
struct rule_entry
{
    std::string id;
    std::int64_t order = 0;
    rule_selectors selectors;

    bool operator==(rule_entry const&) const = default;
};

} // namespace endiveward::config

#endif
