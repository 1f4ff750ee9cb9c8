#ifndef ENDIVEWARD_AGENT_RUNTIME_MODULE_HPP
#define ENDIVEWARD_AGENT_RUNTIME_MODULE_HPP

#include "kernel/i_module.hpp"

#include <memory>

namespace endiveward::kernel
{
class thread_pool;
}

namespace endiveward::agent
{

/// Registers `clock`, `random`, `metrics` and `traffic_pool`, and runs the
/// traffic thread. Must be the first module, so that the thread is stopped
/// last.
class runtime_module : public kernel::i_module
{
public:
    runtime_module();
    ~runtime_module() override;

    std::string_view name() const override { return "runtime"; }
    void register_services(kernel::service_registry& registry) override;
    void init() override;
    void deinit() override;

private:
    std::shared_ptr<kernel::thread_pool> traffic_;
};

} // namespace endiveward::agent

#endif
