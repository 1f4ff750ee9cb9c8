#ifndef ENDIVEWARD_AGENT_CALL_SENDER_HPP
#define ENDIVEWARD_AGENT_CALL_SENDER_HPP

#include "kernel/types/error.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace endiveward::config
{
class i_config_state;
}
namespace endiveward::wire
{
class i_connection;
}

namespace endiveward::agent
{

class load_reporter;
struct call;

/// Sends verdicts, chunks and call ends to routers.
class call_sender
{
    std::shared_ptr<load_reporter> load_;
    std::shared_ptr<config::i_config_state const> configuration_;

public:
    call_sender(std::shared_ptr<load_reporter> load,
                std::shared_ptr<config::i_config_state const> configuration);

    void send_verdict(call const& entry,
                      std::optional<kernel::error> refusal) const;
    /// Sends the buffered chunks not sent yet, then the end if the call has
    /// ended.
    void send_available(call& entry) const;
    /// Sends a failed call end for a stream that cannot be resumed.
    static void send_lost_stream(wire::i_connection& to, std::uint64_t call_id);

private:
    void send_end(call& entry) const;
};

} // namespace endiveward::agent

#endif
