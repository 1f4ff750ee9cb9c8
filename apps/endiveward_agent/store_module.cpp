#include "endiveward_agent/store_module.hpp"

#include "agent/unavailable_table.hpp"
#include "config/config_state.hpp"
#include "kernel/service_registry.hpp"
#include "platform/http_client.hpp"
#include "platform/http_table.hpp"

#include <utility>

namespace endiveward::app
{

namespace
{

std::shared_ptr<platform::i_table> make_table(std::string const& url)
{
    if (url.empty())
        return std::make_shared<agent::unavailable_table>();
    return std::make_shared<platform::http_table>(
        std::make_shared<platform::http_client>(), url);
}

} // namespace

store_module::store_module(std::string table_url)
    : table_url_(std::move(table_url))
{
}

void store_module::register_services(kernel::service_registry& registry)
{
    registry.add<config::i_config_state>(
        "config_state", std::make_shared<config::config_state>());
    registry.add<platform::i_table>("table", make_table(table_url_));
}

} // namespace endiveward::app
