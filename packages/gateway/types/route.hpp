#ifndef ENDIVEWARD_GATEWAY_TYPES_ROUTE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_ROUTE_HPP

#include "gateway/types/route_kind.hpp"
#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::gateway
{

/// A service and its relative share of a route's requests.
struct traffic_share
{
    kernel::service_id service;
    double weight = 1;

    bool operator==(traffic_share const&) const = default;
};

/// How requests for one host and path prefix are served.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    route_kind kind = route_kind::at_most_once;
    /// Longest time until the end of a response.
    std::chrono::milliseconds timeout{0};
    /// Target for the time to a response or, of a stream, to its first event.
    std::chrono::milliseconds target_latency{0};
    /// Target for the longest gap between two events of a stream.
    std::chrono::milliseconds target_gap{0};
    /// Maximum number of endpoints on which one request may run.
    unsigned max_attempts = 1;
    /// 0 is the highest priority.
    int priority = 0;
    /// Requests need no key.
    bool is_public = false;
    /// Requests specify a model and the parts of their prompt.
    bool has_prompt = false;
    std::vector<traffic_share> shares;

    bool operator==(route const&) const = default;
};

} // namespace endiveward::gateway

#endif
