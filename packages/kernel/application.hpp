#ifndef ENDIVEWARD_KERNEL_APPLICATION_HPP
#define ENDIVEWARD_KERNEL_APPLICATION_HPP

#include "kernel/service_registry.hpp"

#include <cstddef>
#include <memory>
#include <vector>

namespace endiveward::kernel
{

class i_module;

/// Owns the modules of a process and runs their lifecycle.
class application
{
public:
    application();
    ~application();
    application(application const&) = delete;
    application& operator=(application const&) = delete;

    void add_module(std::unique_ptr<i_module> module);

    /// Registers, resolves and initializes all modules. If a module throws,
    /// those already initialized are stopped and the exception passes on.
    void start();
    /// Stops the initialized modules in reverse order.
    void stop();

    service_registry& registry() { return registry_; }

private:
    service_registry registry_;
    std::vector<std::unique_ptr<i_module>> modules_;
    std::size_t initialized_ = 0;
};

} // namespace endiveward::kernel

#endif
