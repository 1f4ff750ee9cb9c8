#ifndef ENDIVEWARD_AGENT_CALL_EXECUTOR_HPP
#define ENDIVEWARD_AGENT_CALL_EXECUTOR_HPP

#include "admission/types/claim.hpp"
#include "agent/i_endpoint_observer.hpp"
#include "agent/internal/call_policy.hpp"
#include "agent/internal/call_sender.hpp"
#include "agent/internal/call_table.hpp"
#include "agent/internal/endpoint_availability.hpp"
#include "kernel/types/result.hpp"
#include "wire/types/cancel.hpp"
#include "wire/types/chunk_ack.hpp"
#include "wire/types/resume.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
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

struct call_executor_dependencies
{
    std::shared_ptr<kernel::i_clock const> clock;
    std::shared_ptr<admission::i_admission_queue> queue;
    std::shared_ptr<admission::i_idempotency_ledger> ledger;
    std::shared_ptr<admission::i_cache_index const> cache_index;
    std::shared_ptr<config::i_config_state> configuration;
    std::shared_ptr<i_endpoint_client> endpoint;
    std::shared_ptr<load_reporter> load;
    std::shared_ptr<agent_metrics> metrics;
    std::function<std::unique_ptr<admission::i_stream_buffer>()> make_buffer;
    /// Bytes that requests may take together; small ones may take as much
    /// again.
    std::size_t max_call_memory = 64U << 20U;
    /// Computes the `cache_salt` sent to the engine.
    std::function<std::string(wire::invoke const&)> cache_salt;
};

/// Admits and runs the calls of this endpoint and relays the responses to
/// routers. Used on the traffic thread.
class call_executor : i_endpoint_observer
{
    call_executor_dependencies dependencies_;

public:
    using connection_ptr = call_table::connection_ptr;

    /// How long the chunks of a call whose router disconnected, and the end of
    /// a call, are kept for a resume. After that, an idempotent call without a
    /// key is cancelled if no router resumed it. All others continue, so that
    /// the response of a keyed call is recorded.
    static constexpr std::chrono::seconds resume_window{10};

    call_executor(call_executor_dependencies dependencies,
                  endpoint_identity identity);

    void on_invoke(connection_ptr const& conn, wire::invoke request);
    void on_ack(connection_ptr const& conn, wire::chunk_ack const& ack);
    void on_cancel(connection_ptr const& conn, wire::cancel const& msg);
    void on_resume(connection_ptr const& conn, wire::resume const& msg);
    void on_connection_closed(connection_ptr const& conn);
    /// Called when a router has answered a configuration request or, with a
    /// null `source`, when the configuration changed for another reason.
    void on_configuration(connection_ptr const& source);
    /// Handles expired deadlines and resume windows. Called every few
    /// milliseconds.
    void tick();
    /// Starts queued calls while there is capacity.
    void start_queued_calls();
    /// Refuses new calls from now on.
    void drain();
    /// Whether all calls have ended and routers have acknowledged all chunks.
    bool idle() const;
    /// Number of calls that have not ended.
    std::size_t open_calls() const;

private:
    void on_notices(std::uint64_t id, endpoint_notices const& notices) override;
    void on_chunk(std::uint64_t id, std::string bytes) override;
    void on_end(std::uint64_t id, endpoint_result const& end) override;

    void on_duplicate_invoke(call& existing, connection_ptr const& conn,
                             wire::invoke const& request);
    bool has_memory_for(call const& entry) const;
    void admit(call& entry);
    void request_configuration(call& entry);
    void refuse(call& entry, kernel::error reason);
    std::optional<kernel::error> check_endpoint(call& entry);
    void update_endpoint_wait();
    void start(call& entry);
    void claim(call& entry);
    void on_claimed(std::uint64_t id,
                    kernel::result<admission::claim_decision> decision);
    void replay(call& entry, admission::stored_answer const& stored);
    void run(call& entry);
    void cancel_call(call& entry);
    void expire(call& entry);
    void check_timeouts(call& entry);
    void continue_unattended(call& entry);
    void discard_chunks(call& entry);
    void release_chunks(call& entry, std::uint64_t next);
    void end(call& entry, wire::call_end outcome);
    void fail(call& entry, kernel::error reason, bool endpoint_ended = false);
    void settle_claim(call& entry) const;
    void resume_stream(call& entry, std::uint64_t next);
    void count_dropped_message() const;
    std::chrono::milliseconds
    updated_average(std::chrono::milliseconds measured) const;
    kernel::steady_time now() const;

    call_policy policy_;
    call_sender sender_;
    call_table calls_;
    std::set<wire::i_connection const*> config_request_pending_;
    /// Moving average of the service time; 0 until the first measurement.
    std::chrono::milliseconds average_service_time_;
    bool starting_calls_ = false;
    endpoint_availability availability_;
};

} // namespace endiveward::agent

#endif
