#ifndef ENDIVEWARD_GATEWAY_EXCHANGE_HPP
#define ENDIVEWARD_GATEWAY_EXCHANGE_HPP

#include "availability/types/request_keys.hpp"
#include "gateway/buffer_memory.hpp"
#include "gateway/endpoint_record.hpp"
#include "gateway/http/event_splitter.hpp"
#include "gateway/http/http_request.hpp"
#include "gateway/http/i_upstream_observer.hpp"
#include "gateway/http/response_head.hpp"
#include "gateway/i_exchange.hpp"
#include "gateway/isolation_watch.hpp"
#include "gateway/types/endpoint_requirements.hpp"
#include "gateway/types/placement_choice.hpp"
#include "gateway/types/quota_ticket.hpp"
#include "gateway/types/route.hpp"
#include "gateway/types/workspace_entry.hpp"
#include "kernel/i_clock.hpp"
#include "resumption/types/resumption_decision.hpp"

#include <asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiveward::gateway
{

class i_response_writer;
class room_place;
class routing_table;
class upstream_connection;
class upstream_pool;
struct exchange_services;
struct held_request;
struct sent_request;
struct unserved_request;

/// Serves one request: chooses an endpoint, forwards the request, handles
/// failures and retries, and sends the caller exactly one response.
class exchange : public std::enable_shared_from_this<exchange>,
                 public i_exchange,
                 private i_upstream_observer
{
public:
    /// `table` is null while no configuration has been received.
    exchange(exchange_services const& services,
             std::shared_ptr<routing_table const> table, http_request request,
             i_response_writer& writer);
    ~exchange() override;

    /// Returns false if the request has already been answered.
    bool start();

    void on_caller_gone() override;
    void on_caller_ready() override;
    void on_stop() override;

private:
    enum class progress
    {
        /// Finding out where a stream began that the caller takes up.
        locating,
        /// Choosing an endpoint, or waiting for one to become available.
        choosing,
        /// The request was sent; no byte of a response has arrived.
        sent,
        /// Buffering a response before it is forwarded.
        collecting,
        /// Forwarding the events of a stream.
        streaming,
        /// Forwarding a plain response that is too long to buffer.
        relaying,
        ended
    };

    bool may_send() const override;
    void on_head(response_head const& head) override;
    void on_body(std::string_view bytes) override;
    void on_end() override;
    void on_failure(upstream_failure failure) override;

    bool admit();
    void prepare_requirements();
    bool is_contended() const;
    bool takes_up_stream() const;
    void locate_stream();
    void on_located(resumption::resumption_decision const& decision,
                    std::optional<kernel::service_id> const& service);
    void go_on_at(kernel::software_version const& software,
                  std::optional<kernel::service_id> const& service);
    void note_origin();
    void attempt();
    bool refuse_if_overloaded(placement_choice const& choice);
    bool hold_if_overloaded(placement_choice const& choice);
    held_request describe_held() const;
    void send(placement_choice choice);
    sent_request describe_sent() const;
    bool count_buffered();
    void note_output();
    void discard(std::size_t n);
    void reject_response(std::string_view reason);
    void forward_events();
    void begin_stream();
    void begin_relay();
    void handle_refusal();
    void handle_failure(std::string_view reason);
    void handle_unavailable();
    bool reject_if_quarantined();
    bool refuse_if_stopping();
    bool ends_with_process() const;
    void note_crash();
    void abandon_attempt();
    void note_served();
    unserved_request describe_unserved() const;
    bool prepare_retry(std::string_view reason);
    std::optional<placement_choice> find_alternative() const;
    bool has_alternative() const;
    bool may_run_again() const;
    std::optional<isolation_watch::departure> departure() const;
    void on_isolation(isolation_watch::departure const& reason);
    std::string resumed_after() const;
    bool has_changed_software() const;
    bool has_changed_weights() const;
    bool check_software();
    void resume_stream(std::string_view reason);
    void answer_collected();
    void release_upstream(bool ended);
    void give_up(std::string_view reason,
                 std::optional<std::chrono::milliseconds> retry_after = {});
    std::chrono::milliseconds time_to_return() const;
    void refuse(std::chrono::milliseconds retry_after, std::string_view reason);
    void
    answer_locally(int status, std::string_view reason,
                   std::optional<std::chrono::milliseconds> retry_after = {});
    void finish(std::string const& outcome);
    void arm(kernel::steady_time at);
    void on_timer();
    void on_stall();
    std::optional<kernel::steady_time> stall_deadline() const;
    kernel::steady_time next_check() const;
    std::chrono::milliseconds time_left() const;
    std::chrono::milliseconds since(kernel::steady_time begin) const;

    exchange_services const& services_;
    std::shared_ptr<routing_table const> table_;
    /// Shared with connections that are sending its body.
    std::shared_ptr<http_request const> request_;
    i_response_writer* writer_;
    std::string id_;
    /// The request that began the stream: this one, or another one whose stream
    /// the caller takes up.
    std::string begun_by_;
    route const* route_ = nullptr;
    workspace_entry const* workspace_ = nullptr;
    quota_ticket quota_;
    endpoint_requirements requirements_;
    /// Keys of the request and of the prompt parts that others may have, too.
    availability::request_keys keys_;
    kernel::steady_time arrived_{};
    kernel::steady_time expires_{};
    /// When the caller stops trying. The route may allow less time.
    kernel::steady_time caller_expires_{};
    asio::steady_timer timer_;
    /// Set while the request waits for capacity.
    std::unique_ptr<room_place> place_;

    progress progress_ = progress::choosing;
    std::shared_ptr<endpoint_record> endpoint_;
    std::shared_ptr<upstream_pool> pool_;
    std::shared_ptr<upstream_connection> upstream_;
    request_footprint footprint_;
    /// The endpoint's generation when the request was sent.
    std::uint64_t sent_generation_ = 0;
    weights::weight_version requested_version_ = 0;
    isolation_watch::cache_use cache_use_;
    /// When the last attempt to leave the cache group has failed, the time of
    /// the next one.
    kernel::steady_time isolation_retry_at_{};
    /// The newest version that was named when the request was sent.
    weights::weight_version named_version_ = 0;
    /// Whether the endpoint was named a source or a target of KV cache.
    bool exchanges_cache_ = false;
    /// The endpoint's software version when the request was sent.
    kernel::software_version sent_software_;
    /// Whether the attempt resumes a stream.
    bool resumes_ = false;
    /// The endpoint may have begun the stream with other software than it was
    /// listed with.
    bool origin_unknown_ = false;
    kernel::steady_time sent_at_{};
    kernel::steady_time last_event_at_{};
    std::chrono::milliseconds expected_first_byte_{0};
    request_work work_;
    /// Whether a limit that the endpoint names was in force when the request
    /// was sent.
    bool counted_by_limit_ = false;
    /// Whether the request is the first one after a quarantine.
    bool is_trial_ = false;
    /// Until when others are refused because of the trial.
    kernel::steady_time trial_until_{};
    bool response_started_ = false;
    /// Whether the endpoint has begun to write an answer in this attempt.
    bool has_output_ = false;
    response_head head_;
    bool refused_ = false;
    std::string body_;
    std::size_t discarded_bytes_ = 0;
    event_splitter events_;
    /// Of `head_`, `body_` and `events_`.
    buffer_memory::share buffered_;
    std::optional<std::uint64_t> last_event_;
    bool head_forwarded_ = false;

    /// Number of endpoints at which the request may have run.
    unsigned runs_ = 0;
    unsigned refusals_ = 0;
    unsigned failed_connects_ = 0;
    /// Set while no endpoint is available.
    std::optional<kernel::steady_time> waiting_since_;
    /// Endpoints in `requirements_.excluded` to which this process has as many
    /// connections as it may open.
    std::vector<kernel::endpoint_id> without_connection_;
};

} // namespace endiveward::gateway

#endif
