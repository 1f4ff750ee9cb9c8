#ifndef ENDIVEWARD_GATEWAY_PROCESS_BUDGET_HPP
#define ENDIVEWARD_GATEWAY_PROCESS_BUDGET_HPP

#include <cstddef>

namespace endiveward::gateway
{

/// What callers may use of a process.
struct process_budget
{
    /// Bytes of their connections, requests and responses together.
    std::size_t buffer_memory = 0;
    /// The same if the largest request needs more.
    std::size_t max_buffer_memory = 0;
};

/// The budget of a process that may use so many bytes of memory; 0 stands for
/// unknown.
process_budget budget_of(std::size_t memory);

} // namespace endiveward::gateway

#endif
