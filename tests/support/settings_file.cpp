#include "support/settings_file.hpp"

#include <toml++/toml.h>

#include <sstream>

namespace endiveward::test_support
{

namespace
{

void add_more(toml::table& root, setting_map const& more)
{
    for (auto const& [name, settings] : more)
    {
        if (!root.contains(name))
            root.insert(name, toml::table{});
        auto& table = *root[name].as_table();
        for (auto const& [key, value] : settings)
            std::visit([&table, &key = key](auto const& it)
                       { table.insert_or_assign(key, it); },
                       value);
    }
}

toml::table common_table(common_file const& from)
{
    toml::array seeds;
    for (auto const& it : from.seeds)
        seeds.push_back(it);
    toml::table root{
        {"process", toml::table{{"name", from.name},
                                {"region", from.region},
                                {"zone", from.zone}}},
        {"listen",
         toml::table{{"peers", from.peers}, {"operators", from.operators}}},
        {"cluster", toml::table{{"key_file", from.key_file}}},
        {"operators", toml::table{{"token_file", from.token_file}}},
        {"members", toml::table{{"seeds", seeds}}}};
    if (!from.platform_url.empty())
        root.insert("platform",
                    toml::table{{"table_url", from.platform_url},
                                {"object_store_url", from.platform_url},
                                {"vm_list_url", from.platform_url}});
    return root;
}

std::string print(toml::table const& root)
{
    std::ostringstream out;
    out << root << '\n';
    return out.str();
}

} // namespace

std::string to_toml(router_file const& settings)
{
    auto root = common_table(settings.common);
    root["listen"].as_table()->insert("callers", settings.callers);
    add_more(root, settings.common.more);
    return print(root);
}

std::string to_toml(agent_file const& settings)
{
    auto root = common_table(settings.common);
    toml::table endpoint{
        {"endpoint", settings.endpoint},
        {"kind", settings.service.empty() ? "engine" : "service"},
        {"endpoint_url", settings.endpoint_url},
        {"fencing", settings.checks_fencing ? "checked" : "unchecked"},
        {"capacity", settings.capacity}};
    if (!settings.service.empty())
        endpoint.insert("service", settings.service);
    root.insert("endpoint", endpoint);
    add_more(root, settings.common.more);
    return print(root);
}

} // namespace endiveward::test_support
