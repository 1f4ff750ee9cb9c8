#ifndef ENDIVEWARD_GATEWAY_TYPES_KV_ROUTE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_KV_ROUTE_HPP

#include <string>

namespace endiveward::gateway
{

/// Where an engine fetches KV cache from and saves it to, as `IP:PORT`; empty
/// if it does not.
struct kv_route
{
    std::string source;
    std::string target;
};

} // namespace endiveward::gateway

#endif
