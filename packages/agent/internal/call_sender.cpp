#include "agent/internal/call_sender.hpp"

#include "agent/internal/call.hpp"
#include "agent/internal/load_reporter.hpp"
#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "wire/i_connection.hpp"

#include <utility>

namespace endiveward::agent
{

call_sender::call_sender(
    std::shared_ptr<load_reporter> load,
    std::shared_ptr<config::i_config_state const> configuration)
    : load_(std::move(load))
    , configuration_(std::move(configuration))
{
}

void call_sender::send_verdict(call const& entry,
                               std::optional<kernel::error> refusal) const
{
    if (!entry.connection)
        return;
    wire::verdict verdict;
    verdict.call_id = entry.call_id;
    verdict.refusal = std::move(refusal);
    verdict.hit_bytes = entry.hit_bytes;
    verdict.load = load_->report();
    verdict.config_version = configuration_->current()->version();
    entry.connection->send(verdict);
}

void call_sender::send_available(call& entry) const
{
    if (!entry.connection || !entry.buffer)
        return;
    while (auto const* const bytes = entry.buffer->find(entry.next_to_send))
    {
        entry.connection->send(
            wire::chunk{entry.call_id, entry.next_to_send, *bytes});
        ++entry.next_to_send;
    }
    if (entry.end && !entry.end_sent)
        send_end(entry);
}

void call_sender::send_end(call& entry) const
{
    auto end = *entry.end;
    end.call_id = entry.call_id;
    end.load = load_->report();
    entry.end_sent = true;
    entry.connection->send(end);
}

void call_sender::send_lost_stream(wire::i_connection& to,
                                   std::uint64_t call_id)
{
    wire::call_end end;
    end.call_id = call_id;
    end.outcome = wire::call_outcome::failed;
    end.failure = kernel::error{
        kernel::error_kind::stream_interrupted,
        "the agent does not keep this part of the stream; send the request "
        "again if it may run twice",
        kernel::run_state::unknown,
        {}};
    to.send(end);
}

} // namespace endiveward::agent
