#ifndef ENDIVEWARD_APPS_ENDIVEWARD_AGENT_STORE_MODULE_HPP
#define ENDIVEWARD_APPS_ENDIVEWARD_AGENT_STORE_MODULE_HPP

#include "kernel/i_module.hpp"

#include <string>

namespace endiveward::app
{

/// Registers `config_state` and `table`.
class store_module : public kernel::i_module
{
public:
    /// Without a URL every operation of the table fails.
    explicit store_module(std::string table_url);

    std::string_view name() const override { return "store"; }
    void register_services(kernel::service_registry& registry) override;

private:
    std::string const table_url_;
};

} // namespace endiveward::app

#endif
