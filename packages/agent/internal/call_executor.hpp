#ifndef ENDIVEWARD_AGENT_CALL_EXECUTOR_HPP
#define ENDIVEWARD_AGENT_CALL_EXECUTOR_HPP

#include "admission/types/claim.hpp"
#include "agent/i_endpoint_observer.hpp"
#include "agent/internal/call_policy.hpp"
#include "agent/internal/call_sender.hpp"
#include "agent/internal/call_table.hpp"
#include "kernel/types/result.hpp"
#include "wire/types/cancel.hpp"
#include "wire/types/chunk_ack.hpp"
#include "wire/types/resume.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

namespace endiveward::admission
{
class i_admission_queue;
class i_cache_index;
class i_idempotency_ledger;
} // namespace endiveward::admission
namespace endiveward::config
{
class i_config_state;
}

namespace endiveward::agent
{

class agent_metrics;
class i_endpoint_client;

/// What a call executor works with.
struct call_executor_dependencies
{
    std::shared_ptr<kernel::i_clock const> clock;
    std::shared_ptr<admission::i_admission_queue> queue;
    std::shared_ptr<admission::i_idempotency_ledger> ledger;
    std::shared_ptr<admission::i_cache_index const> cache;
    std::shared_ptr<config::i_config_state> configuration;
    std::shared_ptr<i_endpoint_client> endpoint;
    std::shared_ptr<load_reporter> load;
    std::shared_ptr<agent_metrics> metrics;
    std::function<std::unique_ptr<admission::i_stream_buffer>()> make_buffer;
    /// The value for the engine's `cache_salt`.
    std::function<std::string(wire::invoke const&)> cache_salt;
};

/// Runs the calls of this endpoint. Used on the traffic thread.
class call_executor : i_endpoint_observer
{
    call_executor_dependencies services_;

public:
    using connection_ptr = call_table::connection_ptr;

    /// How long the chunks of a call without a router and the end of a call
    /// are kept. Without a router idempotent calls are cancelled then; others
    /// go on, so that the answer of a keyed call is recorded.
    static constexpr std::chrono::seconds resume_window{10};

    call_executor(call_executor_dependencies services, endpoint_identity own);

    void on_invoke(connection_ptr const& conn, wire::invoke request);
    void on_ack(connection_ptr const& conn, wire::chunk_ack const& ack);
    void on_cancel(connection_ptr const& conn, wire::cancel const& what);
    void on_resume(connection_ptr const& conn, wire::resume const& what);
    void on_connection_closed(connection_ptr const& conn);
    /// A router answered a request for its configuration, or the
    /// configuration changed for another reason (no connection).
    void on_configuration(connection_ptr const& source);
    /// Handles deadlines and windows that have passed; called every few ms.
    void tick();
    /// Starts queued calls if there is capacity.
    void pump();
    /// Refuses new calls from now on.
    void drain();
    /// Whether all calls have ended and their answers were received.
    bool idle() const;
    /// Calls that have not ended.
    std::size_t open_calls() const;

private:
    void on_chunk(std::uint64_t id, std::string bytes) override;
    void on_end(std::uint64_t id, endpoint_result const& end) override;

    void on_known_stream(call& known, connection_ptr const& conn,
                         wire::invoke const& request);
    void decide(call& which);
    void request_configuration(call& which);
    void refuse(call& which, kernel::error reason);
    void start(call& which);
    void claim(call& which);
    void on_claimed(std::uint64_t id,
                    kernel::result<admission::claim_decision> decision);
    void replay(call& which, admission::stored_answer const& answer);
    void run(call& which);
    void withdraw(call& which);
    void expire(call& which);
    void check_windows(call& which);
    void continue_unattended(call& which);
    void discard_chunks(call& which);
    void release_chunks(call& which, std::uint64_t next);
    void end(call& which, wire::call_end outcome);
    void fail(call& which, kernel::error reason);
    void settle_claim(call& which) const;
    void continue_stream(call& which, std::uint64_t next);
    void drop_message() const;
    std::chrono::milliseconds
    average_with(std::chrono::milliseconds measured) const;
    kernel::steady_time now() const;

    call_policy policy_;
    call_sender sender_;
    call_table calls_;
    std::set<wire::i_connection const*> config_requests_;
    /// Moving average of the time that calls take; 0 before the first.
    std::chrono::milliseconds average_service_;
    bool pumping_ = false;
};

} // namespace endiveward::agent

#endif
