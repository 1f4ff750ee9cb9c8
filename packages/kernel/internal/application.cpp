#include "kernel/application.hpp"

#include "kernel/i_module.hpp"

namespace endiveward::kernel
{

application::application() = default;

application::~application()
{
    stop();
}

void application::add_module(std::unique_ptr<i_module> module)
{
    modules_.push_back(std::move(module));
}

void application::start()
{
    for (auto const& it : modules_)
        it->register_services(registry_);
    for (auto const& it : modules_)
        it->resolve_services(registry_);
    try
    {
        for (auto const& it : modules_)
        {
            it->init();
            ++initialized_;
        }
    }
    catch (...)
    {
        stop();
        throw;
    }
}

void application::stop()
{
    while (initialized_ > 0)
        modules_[--initialized_]->deinit();
}

} // namespace endiveward::kernel
