#ifndef ENDIVEWARD_AGENT_ENGINE_ORDER_HPP
#define ENDIVEWARD_AGENT_ENGINE_ORDER_HPP

#include <cstdint>
#include <string>

namespace endiveward::agent
{

/// An order to an engine. `kind` is `load`, `unload` or `set_role`.
struct engine_order
{
    std::string kind;
    std::string model;
    std::string version;
    std::string role;
    std::uint64_t fencing_number = 0;
};

} // namespace endiveward::agent

#endif
