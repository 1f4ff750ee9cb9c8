#ifndef ENDIVEWARD_AGENT_ENDPOINT_NOTICES_HPP
#define ENDIVEWARD_AGENT_ENDPOINT_NOTICES_HPP

#include "availability/types/leaving_notice.hpp"
#include "availability/types/limit_notice.hpp"
#include "availability/types/retry_after.hpp"

namespace endiveward::agent
{

/// What the head of a response says about the requests that the endpoint takes.
struct endpoint_notices
{
    availability::limit_notice limit;
    availability::leaving_notice leaving = availability::leaving_notice::none;
    /// The time for which it wants no requests, of a refusal only.
    availability::retry_after pause;
};

} // namespace endiveward::agent

#endif
