#ifndef ENDIVEWARD_GATEWAY_ROOM_QUEUE_HPP
#define ENDIVEWARD_GATEWAY_ROOM_QUEUE_HPP

#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"
#include "room/types/room_decision.hpp"
#include "room/types/room_switch.hpp"
#include "room/types/waiting_request.hpp"
#include "room/waiting_room.hpp"

#include <asio/steady_timer.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace endiveward::observe
{
class decision_log;
}

namespace endiveward::gateway
{

class endpoint_directory;
class gateway_metrics;
class room_place;
class routing_table;
struct endpoint_requirements;
struct held_request;
struct placement_choice;

/// Holds requests for which no endpoint has capacity, and lets them ask again
/// in order when capacity may have become free. Used on the traffic thread.
class room_queue : public std::enable_shared_from_this<room_queue>
{
public:
    room_queue(asio::io_context& context, kernel::i_clock const& clock,
               endpoint_directory const& endpoints,
               double prefill_tokens_per_ms, gateway_metrics& metrics,
               observe::decision_log& log);

    void set_switch(room::room_switch value) { switch_ = value; }
    /// `seed` should differ between processes.
    void set_processes(std::size_t number, std::uint64_t seed);
    void apply(routing_table const& table);
    bool in_force() const;

    /// Sets what the request requires of an endpoint with capacity.
    void prepare(endpoint_requirements& requirements,
                 held_request const& request) const;
    /// Decides whether the request is sent to the chosen endpoint. If it is to
    /// wait, `place` is set and `ask_again` is called when it is its turn.
    room::room_decision decide(std::unique_ptr<room_place>& place,
                               held_request const& request,
                               placement_choice const& choice,
                               std::function<void()> ask_again);
    /// Capacity may have become free: an answer has begun or ended, or a report
    /// has arrived.
    void on_capacity();

private:
    friend class room_place;

    struct waiter
    {
        std::string id;
        kernel::service_id service;
        kernel::steady_time since{};
        std::function<void()> ask_again;
    };

    room::waiting_request describe(std::uint64_t ticket,
                                   held_request const& request,
                                   placement_choice const& choice) const;
    double tokens_per_ms(kernel::service_id const& service) const;
    void enter(std::unique_ptr<room_place>& place, std::uint64_t ticket,
               held_request const& request, std::function<void()> ask_again);
    void leave(std::uint64_t ticket, std::string_view outcome);
    void plan_pass(kernel::steady_time at);
    void pass();
    void serve(room::waiting_room& waiting);
    void ask(std::uint64_t ticket);

    kernel::i_clock const& clock_;
    endpoint_directory const& endpoints_;
    double prefill_tokens_per_ms_;
    gateway_metrics& metrics_;
    observe::decision_log& log_;
    room::room_switch switch_ = room::room_switch::automatic;
    bool shares_capacity_ = false;
    std::size_t processes_ = 1;
    std::uint64_t seed_ = 0;
    std::unordered_map<kernel::service_id, room::waiting_room> rooms_;
    std::unordered_map<std::uint64_t, waiter> waiters_;
    std::uint64_t last_ticket_ = 0;
    kernel::steady_time last_pass_{};
    bool pass_planned_ = false;
    asio::steady_timer timer_;
};

/// A request's place among those that wait; it is given up when destroyed.
class room_place
{
public:
    room_place(std::weak_ptr<room_queue> queue, std::uint64_t ticket);
    ~room_place();
    room_place(room_place const&) = delete;
    room_place& operator=(room_place const&) = delete;

    std::uint64_t ticket() const { return ticket_; }

private:
    std::weak_ptr<room_queue> queue_;
    std::uint64_t ticket_;
};

} // namespace endiveward::gateway

#endif
