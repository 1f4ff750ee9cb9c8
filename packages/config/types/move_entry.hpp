#ifndef ENDIVEWARD_CONFIG_TYPES_MOVE_ENTRY_HPP
#define ENDIVEWARD_CONFIG_TYPES_MOVE_ENTRY_HPP

#include "config/types/rule_entry.hpp"

#include <string>
#include <vector>

namespace endiveward::config
{

struct move_stage
{
    std::string name;
    /// In order of precedence. While the stage is active, they take precedence
    /// over the base rules.
    std::vector<rule_selectors> rules;

    bool operator==(move_stage const&) const = default;
};

/// A staged move between data centres. Active moves are evaluated in the order
/// of their ids.
struct move_entry
{
    std::string id;
    std::vector<move_stage> stages;
    /// Name of the active stage; empty if the move is not active.
    std::string stage;

    bool operator==(move_entry const&) const = default;
};

} // namespace endiveward::config

#endif
