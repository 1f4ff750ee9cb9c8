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

void call_sender::send_verdict(call const& which,
                               std::optional<kernel::error> refusal) const
{
    if (!which.connection)
        return;
    wire::verdict answer;
    answer.call_id = which.call_id;
    answer.refusal = std::move(refusal);
    answer.hit_bytes = which.hit_bytes;
    answer.load = load_->report();
    answer.config_version = configuration_->current()->version();
    which.connection->send(answer);
}

void call_sender::send_available(call& which) const
{
    if (!which.connection || !which.buffer)
        return;
    while (auto const* const bytes = which.buffer->find(which.next_to_send))
    {
        which.connection->send(
            wire::chunk{which.call_id, which.next_to_send, *bytes});
        ++which.next_to_send;
    }
    if (which.end && !which.end_sent)
        send_end(which);
}

void call_sender::send_end(call& which) const
{
    auto end = *which.end;
    end.call_id = which.call_id;
    end.load = load_->report();
    which.end_sent = true;
    which.connection->send(end);
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
