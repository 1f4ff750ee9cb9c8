#include "endiveward_agent/store_module.hpp"

#include "agent/unavailable_table.hpp"
#include "config/config_state.hpp"
#include "kernel/service_registry.hpp"
#include "storage/http_client.hpp"
#include "storage/http_table.hpp"

#include <utility>

namespace endiveward::app
{

namespace
{

std::shared_ptr<storage::i_table> make_table(std::string const& url)
{
    if (url.empty())
        return std::make_shared<agent::unavailable_table>();
    return std::make_shared<storage::http_table>(
        std::make_shared<storage::http_client>(), url);
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
    registry.add<storage::i_table>("table", make_table(table_url_));
}

} // namespace endiveward::app
