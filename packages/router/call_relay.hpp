#ifndef ENDIVEWARD_ROUTER_CALL_RELAY_HPP
#define ENDIVEWARD_ROUTER_CALL_RELAY_HPP

#include "kernel/i_clock.hpp"
#include "placement/types/placement_request.hpp"
#include "router/call_machine.hpp"
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

class agent_channel;
class i_caller_response;
struct relay_services;

/// Carries out one call: performs the actions of a `call_machine` and feeds it
/// the events. Runs on one thread of `context`.
class call_relay : public i_call_listener,
                   public std::enable_shared_from_this<call_relay>
{
public:
    /// `on_finished` is called once, when the final answer was given.
    call_relay(asio::io_context& context,
               std::shared_ptr<relay_services const> services,
               call_request request,
               std::shared_ptr<i_caller_response> response,
               std::function<void()> on_finished);

    void start();
    /// From any thread.
    void on_call_event(call_event event) override;

private:
    void begin();
    void handle(call_event event);
    void note(call_event const& event);
    void perform_all(call_machine::actions actions);

    void perform(choose_endpoint& action);
    void perform(send_invoke& action);
    void perform(send_resume& action);
    void perform(send_cancel& action);
    void perform(send_ack& action);
    void perform(start_verdict_timer& action);
    void perform(suspect_endpoint& action);
    void perform(catch_up& action);
    void perform(release_endpoint& action);
    void perform(forward_chunk& action);
    void perform(collect_chunk& action);
    void perform(discard_collected& action);
    void perform(finish_stream& action);
    void perform(finish_whole& action);
    void perform(finish_error& action);
    void perform(abandon& action);

    call_event choose();
    bool wait_for_remote(call_event const& event);
    void on_remote();
    config::routing_key routing_key() const;
    bool find_allowed();
    /// Time until the deadline; not negative.
    std::chrono::milliseconds time_left() const;
    bool find_allowed_for_model();
    bool find_allowed_for_service();
    void use_levels();
    wire::message make_invoke(std::uint64_t call_id) const;
    void resume_on(std::shared_ptr<agent_channel> const& channel,
                   leg_number leg, std::uint64_t next);
    void start_timer(asio::steady_timer& timer, kernel::steady_time expiry,
                     call_event event);
    std::vector<wire::header> answer_fields(std::string content_type) const;
    void leave_channel();
    void end_call(std::string_view code);

    asio::io_context& context_;
    std::shared_ptr<relay_services const> const services_;
    call_request request_;
    std::shared_ptr<i_caller_response> response_;
    std::function<void()> on_finished_;

    call_machine machine_;
    kernel::steady_time const arrival_;
    kernel::steady_time const deadline_;
    asio::steady_timer deadline_timer_;
    asio::steady_timer answer_timer_;

    kernel::error no_endpoint_;
    placement::placement_request placement_request_;
    kernel::config_version config_version_ = 0;
    kernel::hash128 stream_id_;
    std::shared_ptr<agent_channel> channel_;
    std::uint64_t call_id_ = 0;
    kernel::endpoint_id endpoint_;
    std::uint64_t cached_bytes_ = 0;
    std::uint64_t prompt_bytes_ = 0;
    bool stream_begun_ = false;
    bool remote_tried_ = false;
    bool awaits_remote_ = false;
    std::string collected_;
};

} // namespace endiveward::router

#endif
