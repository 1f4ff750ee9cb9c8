#include "kernel/service_registry.hpp"

#include <fmt/format.h>

namespace endiveward::kernel
{

bool service_registry::contains(std::string_view name) const
{
    return services_.find(name) != services_.end();
}

void service_registry::insert(std::string_view name, std::any service)
{
    if (!services_.emplace(std::string(name), std::move(service)).second)
        throw std::logic_error(fmt::format(
            "service '{}' is registered twice; list its module once", name));
}

std::any const& service_registry::at(std::string_view name) const
{
    auto const it = services_.find(name);
    if (it == services_.end())
        throw std::logic_error(fmt::format(
            "no service '{}'; add its module to the application", name));
    return it->second;
}

void service_registry::throw_wrong_type(std::string_view name)
{
    throw std::logic_error(fmt::format(
        "service '{}' is registered as another type; use the interface "
        "under which its module registers it",
        name));
}

} // namespace endiveward::kernel
