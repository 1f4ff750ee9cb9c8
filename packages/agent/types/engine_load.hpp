#ifndef ENDIVEWARD_AGENT_ENGINE_LOAD_HPP
#define ENDIVEWARD_AGENT_ENGINE_LOAD_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/loaded_model.hpp"

#include <cstddef>
#include <vector>

namespace endiveward::agent
{

/// The load as last reported by the engine. It lags behind the actual state.
struct engine_load
{
    kernel::incarnation incarnation = 0;
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t capacity = 0;
    std::vector<wire::loaded_model> models;
};

} // namespace endiveward::agent

#endif
