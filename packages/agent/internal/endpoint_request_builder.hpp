#ifndef ENDIVEWARD_AGENT_ENDPOINT_REQUEST_BUILDER_HPP
#define ENDIVEWARD_AGENT_ENDPOINT_REQUEST_BUILDER_HPP

#include "agent/types/endpoint_request.hpp"
#include "kernel/types/result.hpp"

#include <string>

namespace endiveward::wire
{
struct invoke;
}

namespace endiveward::agent
{

/// Builds the endpoint request for a call. For an engine, sets `cache_salt` in
/// the body to `salt` and `priority` to the call's priority, overwriting values
/// from the caller. Fails with `invalid_request` if the body is not a JSON
/// object.
kernel::result<endpoint_request>
build_endpoint_request(wire::invoke const& call, std::string const& salt);

} // namespace endiveward::agent

#endif
