#ifndef ENDIVEWARD_GATEWAY_PROCESS_BUDGET_HPP
#define ENDIVEWARD_GATEWAY_PROCESS_BUDGET_HPP

#include <cstddef>

namespace endiveward::gateway
{

/// Connections that each listener for operators takes.
inline constexpr std::size_t max_operator_connections = 32;

/// What callers may use of a process.
struct process_budget
{
    std::size_t caller_connections = 0;
    /// Bytes of their connections, requests and responses together.
    std::size_t buffer_memory = 0;
    /// The same if the largest request needs more.
    std::size_t max_buffer_memory = 0;
};

/// The budget of a process that may use so many bytes of memory and so many
/// descriptors; 0 stands for unknown.
process_budget budget_of(std::size_t memory, std::size_t descriptors);

} // namespace endiveward::gateway

#endif
