#ifndef ENDIVEWARD_KERNEL_I_MODULE_HPP
#define ENDIVEWARD_KERNEL_I_MODULE_HPP

#include <string_view>

namespace endiveward::kernel
{

class service_registry;

/// A unit of the application with a lifecycle. All modules register before any
/// resolves, all resolve before any starts, and they stop in reverse order.
class i_module
{
public:
    virtual ~i_module() = default;

    virtual std::string_view name() const = 0;
    virtual void register_services(service_registry& registry) = 0;
    virtual void resolve_services(service_registry const&) {}
    virtual void init() {}
    virtual void deinit() {}
};

} // namespace endiveward::kernel

#endif
