#ifndef ENDIVEWARD_AGENT_ENDPOINT_CALL_BUILDER_HPP
#define ENDIVEWARD_AGENT_ENDPOINT_CALL_BUILDER_HPP

#include "agent/types/endpoint_request.hpp"
#include "kernel/types/result.hpp"

#include <string>

namespace endiveward::wire
{
struct invoke;
}

namespace endiveward::agent
{

/// Turns a call into the request to the endpoint. For an engine the body gets
/// `salt` as its `cache_salt` and the call's priority; values of the caller
/// are replaced. Gives `invalid_request` if the body is not a JSON object.
kernel::result<endpoint_request> build_endpoint_call(wire::invoke const& call,
                                                     std::string const& salt);

} // namespace endiveward::agent

#endif
