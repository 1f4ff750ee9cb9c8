#include "agent/runtime_module.hpp"

#include "kernel/secure_random_source.hpp"
#include "kernel/service_registry.hpp"
#include "kernel/system_clock.hpp"
#include "kernel/thread_pool.hpp"

#include <prometheus/registry.h>

namespace endiveward::agent
{

// All calls of an endpoint share state; running them on a single thread needs
// no locks.
runtime_module::runtime_module()
    : traffic_(std::make_shared<kernel::thread_pool>(1))
{
}

runtime_module::~runtime_module() = default;

void runtime_module::register_services(kernel::service_registry& registry)
{
    registry.add<kernel::i_clock>("clock",
                                  std::make_shared<kernel::system_clock>());
    registry.add<kernel::i_random_source>(
        "random", std::make_shared<kernel::secure_random_source>());
    registry.add<prometheus::Registry>(
        "metrics", std::make_shared<prometheus::Registry>());
    registry.add<kernel::thread_pool>("traffic_pool", traffic_);
}

void runtime_module::init()
{
    traffic_->start();
}

void runtime_module::deinit()
{
    traffic_->stop();
}

} // namespace endiveward::agent
