#ifndef ENDIVEWARD_CONFIG_I_CONFIGURATION_HPP
#define ENDIVEWARD_CONFIG_I_CONFIGURATION_HPP

#include "kernel/types/identifiers.hpp"

#include <memory>
#include <string_view>
#include <vector>

namespace endiveward::config
{

struct endpoint_entry;
struct model_entry;
struct service_entry;
struct routing_key;
struct workspace_entry;

/// One immutable version of the configuration.
class i_configuration
{
public:
    using endpoint_list = std::vector<kernel::endpoint_id>;

    virtual ~i_configuration() = default;

    virtual kernel::config_version version() const = 0;

    /// Lookups; they return null if there is no such entry.
    virtual workspace_entry const*
    find_workspace(kernel::workspace_id const& id) const = 0;
    virtual model_entry const* find_model(kernel::model_id const& id) const = 0;
    virtual service_entry const*
    find_service(kernel::service_id const& id) const = 0;
    virtual endpoint_entry const*
    find_endpoint(kernel::endpoint_id const& id) const = 0;
    virtual std::vector<kernel::model_id> models() const = 0;

    /// The workspace that an API key belongs to; null if there is none.
    virtual workspace_entry const*
    authenticate(std::string_view api_key) const = 0;

    /// The endpoints that the rules allow, sorted. Empty if no rule matches.
    virtual std::shared_ptr<endpoint_list const>
    allowed_endpoints(routing_key const& key) const = 0;
    virtual bool allows(routing_key const& key,
                        kernel::endpoint_id const& endpoint) const = 0;
};

} // namespace endiveward::config

#endif
