#ifndef ENDIVEWARD_GATEWAY_TYPES_ROUTE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_ROUTE_HPP

#include "gateway/types/route_type.hpp"
#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::gateway
{

/// A service and the share of a route's requests that it takes.
struct traffic_share
{
    kernel::service_id service;
    double weight = 1;

    bool operator==(traffic_share const&) const = default;
};

/// Requests of one host and path prefix, and how they are served.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    route_type type = route_type::at_most_once;
    /// The longest time that a request is kept waiting for its answer.
    std::chrono::milliseconds timeout{0};
    /// An answer (of a stream: the first event) is in time within this.
    std::chrono::milliseconds target_latency{0};
    /// The longest pause between two events of a stream that is in time.
    std::chrono::milliseconds target_gap{0};
    /// Endpoints on which one caller's attempt may run.
    unsigned max_attempts = 1;
    /// 0 is the most urgent.
    int priority = 0;
    /// Needs no key.
    bool is_public = false;
    /// Requests name a model and the parts of their prompt.
    bool has_prompt = false;
    std::vector<traffic_share> shares;

    bool operator==(route const&) const = default;
};

} // namespace endiveward::gateway

#endif
