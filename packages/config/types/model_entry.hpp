#ifndef ENDIVEWARD_CONFIG_TYPES_MODEL_ENTRY_HPP
#define ENDIVEWARD_CONFIG_TYPES_MODEL_ENTRY_HPP

#include "config/types/label_set.hpp"
#include "kernel/types/identifiers.hpp"

#include <vector>

namespace endiveward::config
{

struct model_version_entry
{
    kernel::model_version version;
    label_set labels;

    bool operator==(model_version_entry const&) const = default;
};

/// A model and its versions. A request for the model goes to the first version
/// in the list that the rules allow for the workspace.
struct model_entry
{
    kernel::model_id id;
    std::vector<model_version_entry> versions;

    bool operator==(model_entry const&) const = default;
};

} // namespace endiveward::config

#endif
