#ifndef ENDIVEWARD_CONFIG_TYPES_CHANGE_OPERATION_HPP
#define ENDIVEWARD_CONFIG_TYPES_CHANGE_OPERATION_HPP

#include "config/types/endpoint_entry.hpp"
#include "config/types/model_entry.hpp"
#include "config/types/move_entry.hpp"
#include "config/types/rule_entry.hpp"
#include "config/types/service_entry.hpp"
#include "config/types/workspace_entry.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace endiveward::config
{

enum class object_kind : std::uint8_t
{
    endpoint,
    workspace,
    model,
    service,
    rule,
    move
};

/// Adds an object or replaces the one with the same id.
template <typename Entry>
struct put_object
{
    Entry entry;

    bool operator==(put_object const&) const = default;
};

struct delete_object
{
    object_kind kind = object_kind::endpoint;
    std::string id;

    bool operator==(delete_object const&) const = default;
};

/// Target of a label operation. `version` is required for models.
struct label_target
{
    object_kind kind = object_kind::endpoint;
    std::string id;
    std::string version;

    bool operator==(label_target const&) const = default;
};

struct set_label
{
    label_target target;
    std::string key;
    std::string value;

    bool operator==(set_label const&) const = default;
};

struct remove_label
{
    label_target target;
    std::string key;

    bool operator==(remove_label const&) const = default;
};

/// Activates a stage of a move; an empty stage makes the move inactive.
struct set_stage
{
    std::string move;
    std::string stage;

    bool operator==(set_stage const&) const = default;
};

using change_operation =
    std::variant<put_object<endpoint_entry>, put_object<workspace_entry>,
                 put_object<model_entry>, put_object<service_entry>,
                 put_object<rule_entry>, put_object<move_entry>, delete_object,
                 set_label, remove_label, set_stage>;

} // namespace endiveward::config

#endif
