#ifndef ENDIVEWARD_AGENT_CALL_HPP
#define ENDIVEWARD_AGENT_CALL_HPP

#include "admission/i_stream_buffer.hpp"
#include "admission/types/claim.hpp"
#include "kernel/i_clock.hpp"
#include "wire/types/call_end.hpp"
#include "wire/types/invoke.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace endiveward::wire
{
class i_connection;
}

namespace endiveward::agent
{

enum class call_state : std::uint8_t
{
    /// Waits for the configuration version that the router used.
    pending_admission,
    queued,
    /// Occupies endpoint capacity and waits for the claim of its idempotency
    /// key.
    claiming,
    running,
    ended
};

/// A call that a router sent to this agent.
struct call
{
    std::uint64_t id = 0;
    wire::invoke request;
    /// Memory that the request takes, as `call_table` counts it.
    std::size_t request_bytes = 0;
    kernel::hash128 request_hash;
    call_state state = call_state::pending_admission;
    kernel::steady_time deadline;
    std::uint64_t hit_bytes = 0;

    /// Null while no router is attached.
    std::shared_ptr<wire::i_connection> connection;
    /// Id of the call on `connection`.
    std::uint64_t call_id = 0;
    std::optional<kernel::steady_time> orphaned_at;
    /// No router resumed the call within the resume window. It continues, but
    /// its chunks are discarded.
    bool continues_unattended = false;

    std::unique_ptr<admission::i_stream_buffer> buffer;
    std::uint64_t next_to_send = 0;
    bool paused = false;
    bool end_sent = false;

    std::optional<admission::claim> claim;
    /// The response body so far, recorded for the idempotency ledger.
    std::string response;
    /// False once the response is too large to be recorded.
    bool response_kept = true;

    /// Counted against the limit that the endpoint names.
    bool counted_by_limit = false;
    kernel::steady_time started_at;
    std::optional<wire::call_end> end;
    kernel::steady_time ended_at;
};

} // namespace endiveward::agent

#endif
