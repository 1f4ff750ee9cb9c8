#ifndef ENDIVEWARD_CONFIG_CONFIGURATION_HPP
#define ENDIVEWARD_CONFIG_CONFIGURATION_HPP

#include "config/i_configuration.hpp"
#include "config/types/config_data.hpp"
#include "config/types/label_set.hpp"
#include "config/types/rule_entry.hpp"
#include "kernel/types/result.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endiveward::config
{

/// A configuration with compiled rules. Immutable and thus safe for concurrent
/// use. Workspaces, model versions and services are grouped into equivalence
/// classes whose members match the same rules.
class configuration : public i_configuration
{
public:
    /// A rule in force, named after its origin: `rule/<id>` or
    /// `move/<id>/<stage>/<number>`.
    struct effective_rule
    {
        std::string name;
        rule_selectors selectors;
    };
    /// Objects with equal values of all labels that the rules use.
    struct object_class
    {
        label_set labels;
        /// Ids; `<model>/<version>` for model versions.
        std::vector<std::string> members;
        /// Bit mask of the effective rules that match the labels.
        std::vector<std::uint64_t> rules;
    };

    /// Creates the empty configuration, which has version 0.
    configuration();

    /// Errors have kind `invalid_request` (a selector does not parse).
    static kernel::result<std::shared_ptr<configuration const>>
    compile(std::shared_ptr<config_data const> data);

    kernel::config_version version() const override;
    workspace_entry const*
    find_workspace(kernel::workspace_id const& id) const override;
    model_entry const* find_model(kernel::model_id const& id) const override;
    service_entry const*
    find_service(kernel::service_id const& id) const override;
    endpoint_entry const*
    find_endpoint(kernel::endpoint_id const& id) const override;
    std::vector<kernel::model_id> models() const override;
    workspace_entry const*
    authenticate(std::string_view api_key) const override;
    std::shared_ptr<endpoint_list const>
    allowed_endpoints(routing_key const& key) const override;
    bool allows(routing_key const& key,
                kernel::endpoint_id const& endpoint) const override;

    std::shared_ptr<config_data const> data() const { return data_; }
    std::vector<effective_rule> const& rules() const { return rules_; }
    std::vector<object_class> const& workspace_classes() const
    {
        return workspace_classes_;
    }
    /// Index into `workspace_classes`.
    std::optional<std::size_t>
    workspace_class(kernel::workspace_id const& id) const;
    /// Index of the first rule that matches; nothing if none does.
    std::optional<std::size_t>
    first_matching_rule(routing_key const& key) const;

private:
    struct class_table;
    class compiler;

    using list_pointer = std::shared_ptr<endpoint_list const>;

    object_class const* target_class(routing_key const& key) const;

    std::shared_ptr<config_data const> data_;
    list_pointer no_endpoints_;
    std::vector<effective_rule> rules_;
    std::vector<object_class> workspace_classes_;
    std::vector<object_class> version_classes_;
    std::vector<object_class> service_classes_;
    /// Class indexes by id.
    std::unordered_map<std::string, std::size_t> workspaces_;
    std::unordered_map<std::string,
                       std::vector<std::pair<std::string, std::size_t>>>
        versions_;
    std::unordered_map<std::string, std::size_t> services_;
    /// The endpoints that each rule allows, by service; "" stands for engines.
    std::unordered_map<std::string, std::vector<list_pointer>> endpoints_;
};

} // namespace endiveward::config

#endif
