#ifndef ENDIVEWARD_ROUTER_TYPES_CALL_REQUEST_HPP
#define ENDIVEWARD_ROUTER_TYPES_CALL_REQUEST_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/header.hpp"
#include "wire/types/target_kind.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace endiveward::router
{

/// A validated and authenticated request of a caller.
struct call_request
{
    std::string request_id;
    kernel::workspace_id workspace;
    std::uint8_t priority = 0;
    wire::target_kind target = wire::target_kind::engine;
    /// Set for `target_kind::engine`.
    kernel::model_id model;
    /// Set for `target_kind::service`.
    kernel::service_id service;
    std::string method;
    /// Path and query at the endpoint.
    std::string path;
    std::vector<wire::header> headers;
    std::string body;
    /// Parts of the prompt, see `placement::make_prefix_levels`.
    std::vector<std::string> prompt_parts;
    bool streaming = false;
    bool idempotent = false;
    std::string idempotency_key;
    /// Time allowed from arrival to the final answer.
    std::chrono::milliseconds timeout{0};
};

} // namespace endiveward::router

#endif
