#ifndef ENDIVEWARD_ROUTER_TYPES_CALL_POLICY_HPP
#define ENDIVEWARD_ROUTER_TYPES_CALL_POLICY_HPP

#include <cstddef>

namespace endiveward::router
{

/// Determines whether a call may be retried and how its answer is delivered.
struct call_policy
{
    /// The caller requested an event stream.
    bool streaming = false;
    /// The call may run more than once.
    bool idempotent = false;
    /// Maximum number of invocations, including the first.
    std::size_t max_attempts = 3;
    /// Maximum number of consecutive resumptions without a new chunk.
    std::size_t max_resumes = 3;
    /// Maximum size of an answer that is buffered before it is sent.
    std::size_t max_answer_bytes = 64U << 20U;
};

} // namespace endiveward::router

#endif
