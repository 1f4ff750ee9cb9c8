#include "gateway/room_queue.hpp"

#include "gateway/endpoint_directory.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/routing_table.hpp"
#include "gateway/types/held_request.hpp"
#include "gateway/types/placement_choice.hpp"
#include "kernel/types/result.hpp"
#include "observe/decision_log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

/// Reports and answers arrive hundreds of times a second. Those within this
/// time are served together: a choice among 48 endpoints takes 28 us, so that
/// passes take at most 0.5 % of a core of which a router may have 9 %.
constexpr milliseconds pass_interval{20};
/// A pass ends after this many requests have found no capacity: those behind
/// them need as much, as a rule.
constexpr std::size_t max_in_vain = 3;
constexpr std::size_t max_asked = 16;

std::uint64_t hash_of(std::string const& text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

room_queue::room_queue(asio::io_context& context, kernel::i_clock const& clock,
                       endpoint_directory const& endpoints,
                       double prefill_tokens_per_ms, gateway_metrics& metrics,
                       observe::decision_log& log)
    : clock_(clock)
    , endpoints_(endpoints)
    , prefill_tokens_per_ms_(prefill_tokens_per_ms)
    , metrics_(metrics)
    , log_(log)
    , timer_(context)
{
}

void room_queue::set_processes(std::size_t number, std::uint64_t seed)
{
    processes_ = std::max<std::size_t>(number, 1);
    seed_ = seed;
}

void room_queue::apply(routing_table const& table)
{
    auto const was_in_force = in_force();
    shares_capacity_ = table.shares_capacity();
    if (was_in_force != in_force())
        log_.write("room_in_force", "value={}", in_force());
}

bool room_queue::in_force() const
{
    return switch_ == room::room_switch::on ||
           (switch_ == room::room_switch::automatic && shares_capacity_);
}

void room_queue::prepare(endpoint_requirements& requirements,
                         held_request const& request) const
{
    requirements.compares_all = in_force();
    requirements.contenders = 1;
    if (!requirements.compares_all)
        return;
    requirements.process_seed = seed_;
    auto const found = rooms_.find(requirements.service);
    if (found == rooms_.end())
        return;
    auto const now = clock_.now();
    auto const& waiting = found->second;
    requirements.max_wait =
        waiting.max_wait(request.own_max_wait, request.arrived,
                         request.arrived + request.via.target_latency, now);
    if (waiting.is_scarce(now))
        requirements.contenders = processes_;
}

room::room_decision room_queue::decide(std::unique_ptr<room_place>& place,
                                       held_request const& request,
                                       placement_choice const& choice,
                                       std::function<void()> ask_again)
{
    auto const now = clock_.now();
    auto const ticket = place != nullptr ? place->ticket() : ++last_ticket_;
    auto const& service = request.requirements.service;
    room::capacity_offer const offer{choice.wait, choice.fits_memory,
                                     choice.has_share, tokens_per_ms(service)};
    auto const res =
        rooms_[service].decide(describe(ticket, request, choice), offer, now);
    std::visit(
        kernel::overloaded{
            [&](room::send_now const& it)
            {
                leave(ticket, it.late ? "sent_late" : "sent");
                place.reset();
            },
            [&](room::wait_for_capacity const& it)
            {
                if (place != nullptr)
                    return;
                log_.write_routine(
                    "waits_for_capacity",
                    "id={} wait_ms={} limit_ms={} fits={} waiting={} "
                    "until_ms={}",
                    request.id, choice.wait.count(),
                    request.requirements.max_wait.count(), choice.fits_memory,
                    waiters_.size() + 1,
                    std::chrono::duration_cast<milliseconds>(it.until - now)
                        .count());
                enter(place, ticket, request, std::move(ask_again));
            },
            [&](room::refuse_now const& it)
            {
                log_.write(
                    "overloaded",
                    "id={} endpoint={} wait_ms={} limit_ms={} target_ms={} "
                    "fits={} held_ms={} capacity_in_ms={} waiting={}",
                    request.id, choice.endpoint->entry().id.str(),
                    choice.wait.count(), request.requirements.max_wait.count(),
                    request.via.target_latency.count(), choice.fits_memory,
                    std::chrono::duration_cast<milliseconds>(now -
                                                             request.arrived)
                        .count(),
                    it.time_to_capacity.count(), waiters_.size());
                metrics_.on_room_refusal(std::string(it.reason));
                leave(ticket, "refused");
                place.reset();
            }},
        res);
    if (rooms_[service].has_displaced())
        plan_pass(now);
    return res;
}

room::waiting_request room_queue::describe(std::uint64_t ticket,
                                           held_request const& request,
                                           placement_choice const& choice) const
{
    room::waiting_request res;
    res.ticket = ticket;
    if (request.workspace != nullptr)
        res.workspace = hash_of(request.workspace->id.str());
    res.weight = request.weight;
    res.priority = request.workspace != nullptr && request.workspace->priority
                       ? *request.workspace->priority
                       : request.via.priority;
    res.caller = request.content_key;
    res.bytes = request.bytes;
    res.work = choice.footprint.uncached_tokens;
    res.arrived = request.arrived;
    res.target_at = request.via.target_latency.count() > 0
                        ? request.arrived + request.via.target_latency
                        : request.expires;
    res.expires = request.expires;
    res.service_time = milliseconds(static_cast<std::int64_t>(
        choice.footprint.uncached_tokens / prefill_tokens_per_ms_));
    res.own_max_wait = request.own_max_wait;
    res.max_wait = request.requirements.max_wait;
    return res;
}

/// This process's share of the rate at which the service's engines process
/// prompts.
double room_queue::tokens_per_ms(kernel::service_id const& service) const
{
    return prefill_tokens_per_ms_ *
           static_cast<double>(endpoints_.of_service(service).size()) /
           static_cast<double>(processes_);
}

void room_queue::enter(std::unique_ptr<room_place>& place, std::uint64_t ticket,
                       held_request const& request,
                       std::function<void()> ask_again)
{
    waiters_[ticket] = {std::string(request.id), request.requirements.service,
                        clock_.now(), std::move(ask_again)};
    place = std::make_unique<room_place>(weak_from_this(), ticket);
    metrics_.set_room_waiting(waiters_.size());
}

void room_queue::leave(std::uint64_t ticket, std::string_view outcome)
{
    auto const found = waiters_.find(ticket);
    if (found == waiters_.end())
        return;
    auto const now = clock_.now();
    auto const waited =
        std::chrono::duration_cast<milliseconds>(now - found->second.since);
    rooms_[found->second.service].leave(ticket, now);
    metrics_.on_room_left(std::string(outcome), waited);
    log_.write_routine("waited", "id={} outcome={} waited_ms={}",
                       found->second.id, outcome, waited.count());
    waiters_.erase(found);
    metrics_.set_room_waiting(waiters_.size());
}

void room_queue::on_capacity()
{
    if (!waiters_.empty())
        plan_pass(std::max(clock_.now(), last_pass_ + pass_interval));
}

void room_queue::plan_pass(kernel::steady_time at)
{
    if (std::exchange(pass_planned_, true))
        return;
    timer_.expires_at(at);
    timer_.async_wait(
        [weak = weak_from_this()](std::error_code ec)
        {
            auto const self = weak.lock();
            if (!ec && self != nullptr)
                self->pass();
        });
}

void room_queue::pass()
{
    pass_planned_ = false;
    last_pass_ = clock_.now();
    std::vector<room::waiting_room*> rooms;
    for (auto& [service, it] : rooms_)
    {
        if (!it.empty())
            rooms.push_back(&it);
    }
    for (auto* const it : rooms)
        serve(*it);
}

/// Lets requests of one service ask again in order, until they find no
/// capacity.
void room_queue::serve(room::waiting_room& waiting)
{
    for (auto const ticket : waiting.take_displaced())
        ask(ticket);
    std::vector<std::uint64_t> in_vain;
    for (std::size_t n = 0; n < max_asked && in_vain.size() < max_in_vain; ++n)
    {
        auto const ticket = waiting.next(in_vain, clock_.now());
        if (!ticket)
            return;
        ask(*ticket);
        if (waiters_.contains(*ticket))
            in_vain.push_back(*ticket);
    }
    if (in_vain.size() < max_in_vain)
        plan_pass(clock_.now() + pass_interval);
}

void room_queue::ask(std::uint64_t ticket)
{
    auto const found = waiters_.find(ticket);
    if (found == waiters_.end())
        return;
    // The request may leave meanwhile.
    auto const ask_again = found->second.ask_again;
    ask_again();
}

room_place::room_place(std::weak_ptr<room_queue> queue, std::uint64_t ticket)
    : queue_(std::move(queue))
    , ticket_(ticket)
{
}

room_place::~room_place()
{
    if (auto const queue = queue_.lock())
        queue->leave(ticket_, "left");
}

} // namespace endiveward::gateway
