#ifndef ENDIVEWARD_ROUTER_TYPES_CALL_EVENT_HPP
#define ENDIVEWARD_ROUTER_TYPES_CALL_EVENT_HPP

#include "kernel/types/error.hpp"
#include "kernel/types/identifiers.hpp"
#include "wire/types/call_end.hpp"
#include "wire/types/chunk.hpp"
#include "wire/types/verdict.hpp"
#include "wire/types/write_outcome.hpp"

#include <cstdint>
#include <variant>

namespace endiveward::router
{

/// Number of a leg of a call. Each invocation and each resumption starts a new
/// leg; an event of an earlier leg is late and has no effect.
using leg_number = std::uint32_t;

struct endpoint_chosen
{
    kernel::endpoint_id endpoint;
};

struct no_endpoint_chosen
{
    kernel::error reason;
};

/// The write of the invoke message completed or failed.
struct invoke_written
{
    leg_number leg = 0;
    wire::write_outcome outcome = wire::write_outcome::written;
};

struct verdict_received
{
    leg_number leg = 0;
    wire::verdict verdict;
};

struct chunk_received
{
    leg_number leg = 0;
    wire::chunk chunk;
};

struct call_end_received
{
    leg_number leg = 0;
    wire::call_end end;
};

/// The connection to the agent was lost.
struct agent_connection_lost
{
    leg_number leg = 0;
};

/// No connection to the agent could be opened in time to resume.
struct resume_failed
{
    leg_number leg = 0;
};

/// The timer that `start_verdict_timer` started has expired.
struct verdict_timer_expired
{
    leg_number leg = 0;
};

/// The configuration has reached the version that `catch_up` requested.
struct configuration_caught_up
{
    leg_number leg = 0;
};

/// Forwarded chunks below `next` were written to the caller's connection.
struct caller_write_completed
{
    std::uint64_t next = 0;
};

struct caller_disconnected
{
};

struct deadline_expired
{
};

using call_event =
    std::variant<endpoint_chosen, no_endpoint_chosen, invoke_written,
                 verdict_received, chunk_received, call_end_received,
                 agent_connection_lost, resume_failed, verdict_timer_expired,
                 configuration_caught_up, caller_write_completed,
                 caller_disconnected, deadline_expired>;

} // namespace endiveward::router

#endif
