#ifndef ENDIVEWARD_ROUTER_CALL_POLICY_HPP
#define ENDIVEWARD_ROUTER_CALL_POLICY_HPP

#include <cstddef>

namespace endiveward::router
{

/// What decides how a call may be retried and how its answer is passed on.
struct call_policy
{
    /// The caller asked for a stream of events.
    bool streaming = false;
    /// The call may run more than once.
    bool idempotent = false;
    /// Limit for invocations, the first included.
    std::size_t max_attempts = 3;
    /// Limit for resumptions in a row that bring no new chunk.
    std::size_t max_resumes = 3;
    /// Limit for an answer that is collected before it is passed on.
    std::size_t max_answer_bytes = 64U << 20U;
};

} // namespace endiveward::router

#endif
