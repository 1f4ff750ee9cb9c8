#ifndef ENDIVEWARD_WIRE_TYPES_ENGINE_STATE_HPP
#define ENDIVEWARD_WIRE_TYPES_ENGINE_STATE_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/model_weights.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace endiveward::wire
{

/// What an agent has just read from its engine.
struct engine_state
{
    /// Differs after a restart of the engine.
    kernel::incarnation endpoint_incarnation = 0;
    /// Empty if they are the same as in the last message.
    std::vector<model_weights> weights;
    /// The engine takes, or is about to take, new weights; requests should go
    /// elsewhere.
    bool reloading = false;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Tokens of memory that cannot be given up, and of all memory.
    std::uint64_t memory_used = 0;
    std::uint64_t memory_total = 0;
    /// Requests, waiting or running, that have no output yet.
    std::uint32_t unanswered = 0;
    /// Routers that are connected to the agent.
    std::uint32_t routers = 0;
    /// The engine does not answer its agent.
    bool unreachable = false;
    /// Changes whenever the engine has sent output of any request.
    std::uint64_t progress = 0;
    /// The engine has announced its exit.
    bool leaving = false;
    /// Requests a second that the engine takes from all processes together, as
    /// its answers to the agent name it.
    std::optional<double> request_limit = std::nullopt;

    bool operator==(engine_state const&) const = default;
};

} // namespace endiveward::wire

#endif
