#ifndef ENDIVEWARD_AGENT_ENGINE_ORDER_HPP
#define ENDIVEWARD_AGENT_ENGINE_ORDER_HPP

#include <cstdint>
#include <string>

namespace endiveward::agent
{

/// An order to an engine. `order` is `load`, `unload` or `set_role`.
struct engine_order
{
    std::string order;
    std::string model;
    std::string version;
    std::string role;
    std::uint64_t fencing_number = 0;
};

} // namespace endiveward::agent

#endif
