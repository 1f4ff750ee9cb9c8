#ifndef ENDIVEWARD_ROUTER_CALL_RELAY_HPP
#define ENDIVEWARD_ROUTER_CALL_RELAY_HPP

#include "kernel/i_clock.hpp"
#include "placement/types/placement_request.hpp"
#include "router/call_state_machine.hpp"
#include "router/i_call_listener.hpp"
#include "router/types/call_request.hpp"
#include "wire/types/message.hpp"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::config
{
struct routing_key;
}

namespace endiveward::router
{

class peer_channel;
class i_caller_response;
struct relay_services;

/// Runs one call: performs the actions of a `call_state_machine` and feeds the
/// resulting events back to it. Runs on one thread of `context`.
class call_relay : public i_call_listener,
                   public std::enable_shared_from_this<call_relay>
{
public:
    /// `on_finished` is called once, after the final answer was sent or the
    /// caller has disconnected.
    call_relay(asio::io_context& context,
               std::shared_ptr<relay_services const> services,
               call_request request,
               std::shared_ptr<i_caller_response> response,
               std::function<void()> on_finished);

    void start();
    /// May be called from any thread.
    void on_call_event(call_event event) override;

private:
    void begin();
    void handle(call_event event);
    void record_event(call_event const& event);
    void perform_all(call_state_machine::actions actions);

    void perform(choose_endpoint& action);
    void perform(send_invoke& action);
    void perform(send_resume& action);
    void perform(send_cancel& action);
    void perform(send_ack& action);
    void perform(start_verdict_timer& action);
    void perform(mark_endpoint_suspect& action);
    void perform(catch_up& action);
    void perform(release_endpoint& action);
    void perform(forward_chunk& action);
    void perform(buffer_chunk& action);
    void perform(discard_buffered& action);
    void perform(finish_stream& action);
    void perform(finish_buffered& action);
    void perform(finish_error& action);
    void perform(abandon& action);

    call_event choose();
    /// Returns the reason for not sending a call that probably crashes
    /// endpoints, if it does.
    std::optional<kernel::error> check_quarantine() const;
    void record_end(wire::call_end const& end);
    bool wait_for_remote(call_event const& event);
    void on_remote_wait_ended();
    config::routing_key routing_key() const;
    /// Determines the allowed endpoints and, for a model, the version. Returns
    /// false and sets `no_endpoint_error_` if there are none.
    bool find_allowed();
    /// Returns the time until the deadline, at least zero.
    std::chrono::milliseconds time_left() const;
    bool find_allowed_for_model();
    bool find_allowed_for_service();
    void update_prefix_levels();
    wire::message make_invoke(std::uint64_t call_id) const;
    void resume_on(std::shared_ptr<peer_channel> const& channel, leg_number leg,
                   std::uint64_t next);
    void start_timer(asio::steady_timer& timer, kernel::steady_time expiry,
                     call_event event);
    std::vector<wire::header> response_fields(std::string content_type) const;
    void detach_channel();
    void end_call(std::string_view code);

    asio::io_context& context_;
    std::shared_ptr<relay_services const> const services_;
    call_request request_;
    std::shared_ptr<i_caller_response> response_;
    std::function<void()> on_finished_;

    std::uint64_t const request_key_;
    /// The call is the first one after a quarantine.
    bool is_trial_ = false;
    /// The endpoint has sent output in this attempt.
    bool has_output_ = false;
    call_state_machine machine_;
    kernel::steady_time const arrival_;
    kernel::steady_time const deadline_;
    asio::steady_timer deadline_timer_;
    /// Limits the current step: connecting to another region, waiting for a
    /// verdict or for a newer configuration, or resuming.
    asio::steady_timer step_timer_;

    kernel::error no_endpoint_error_;
    placement::placement_request placement_request_;
    kernel::config_version config_version_ = 0;
    kernel::hash128 stream_id_;
    std::shared_ptr<peer_channel> channel_;
    std::uint64_t call_id_ = 0;
    kernel::endpoint_id endpoint_;
    std::uint64_t cached_bytes_ = 0;
    std::uint64_t prompt_bytes_ = 0;
    bool stream_begun_ = false;
    bool remote_connection_tried_ = false;
    bool awaiting_remote_ = false;
    std::string buffered_body_;
};

} // namespace endiveward::router

#endif
