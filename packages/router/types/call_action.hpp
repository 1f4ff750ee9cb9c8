#ifndef ENDIVEWARD_ROUTER_TYPES_CALL_ACTION_HPP
#define ENDIVEWARD_ROUTER_TYPES_CALL_ACTION_HPP

#include "kernel/types/error.hpp"
#include "kernel/types/identifiers.hpp"
#include "router/types/call_event.hpp"
#include "wire/types/load_report.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace endiveward::router
{

/// Answered by `endpoint_chosen` or `no_endpoint_chosen`.
struct choose_endpoint
{
    std::vector<kernel::endpoint_id> excluded;
};

struct send_invoke
{
    leg_number leg = 0;
    kernel::endpoint_id endpoint;
};

/// Resumes the stream at chunk `next` on the next connection to the endpoint.
struct send_resume
{
    leg_number leg = 0;
    kernel::endpoint_id endpoint;
    std::uint64_t next = 0;
};

struct send_cancel
{
    leg_number leg = 0;
};

struct send_ack
{
    leg_number leg = 0;
    std::uint64_t next = 0;
};

struct start_verdict_timer
{
    leg_number leg = 0;
};

/// Takes an endpoint that gave no verdict in time out of rotation until its
/// agent answers a probe.
struct mark_endpoint_suspect
{
    kernel::endpoint_id endpoint;
};

/// Fetches the configuration from the endpoint's agent; answered by
/// `configuration_caught_up`.
struct catch_up
{
    leg_number leg = 0;
    kernel::endpoint_id endpoint;
    kernel::config_version version = 0;
};

/// The call no longer occupies the endpoint. Emitted exactly once for each
/// `send_invoke`.
struct release_endpoint
{
    kernel::endpoint_id endpoint;
    std::optional<wire::load_report> load;
};

/// Sends a chunk to the caller immediately; answered by
/// `caller_write_completed`.
struct forward_chunk
{
    std::string bytes;
    std::uint64_t next = 0;
};

/// Appends a chunk to the buffered answer.
struct buffer_chunk
{
    std::string bytes;
};

/// Discards the buffered chunks before a new attempt.
struct discard_buffered
{
};

/// Ends a complete stream.
struct finish_stream
{
};

/// Sends the buffered chunks as one answer.
struct finish_buffered
{
    int http_status = 200;
    std::string content_type;
};

/// Ends the call with an error; `in_stream` is set if chunks were forwarded.
struct finish_error
{
    kernel::error failure;
    bool in_stream = false;
};

/// Ends a call whose caller has disconnected.
struct abandon
{
};

using call_action =
    std::variant<choose_endpoint, send_invoke, send_resume, send_cancel,
                 send_ack, start_verdict_timer, mark_endpoint_suspect, catch_up,
                 release_endpoint, forward_chunk, buffer_chunk,
                 discard_buffered, finish_stream, finish_buffered, finish_error,
                 abandon>;

} // namespace endiveward::router

#endif
