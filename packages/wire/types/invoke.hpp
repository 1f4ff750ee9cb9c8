#ifndef ENDIVEWARD_WIRE_TYPES_INVOKE_HPP
#define ENDIVEWARD_WIRE_TYPES_INVOKE_HPP

#include "kernel/types/hash128.hpp"
#include "kernel/types/identifiers.hpp"
#include "wire/types/header.hpp"
#include "wire/types/prefix_level.hpp"
#include "wire/types/target_kind.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace endiveward::wire
{

/// A call that a router sends to an agent.
struct invoke
{
    std::uint64_t call_id = 0;
    /// Identifies the stream across connections.
    kernel::hash128 stream_id;
    kernel::workspace_id workspace;
    kernel::model_id model;
    kernel::model_version version;
    /// Set for `target_kind::service`.
    kernel::service_id service;
    target_kind target = target_kind::engine;
    std::string method;
    std::string path;
    std::vector<header> headers;
    std::string body;
    bool streaming = false;
    bool idempotent = false;
    std::string idempotency_key;
    /// Time left when the message was sent.
    std::chrono::milliseconds deadline{0};
    /// Lower is more urgent.
    std::uint8_t priority = 0;
    kernel::config_version config_version = 0;
    std::vector<prefix_level> prefix_levels;
    std::string request_id;

    bool operator==(invoke const&) const = default;
};

} // namespace endiveward::wire

#endif
