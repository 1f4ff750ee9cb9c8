#include "router/peer_channel.hpp"

#include "router/i_call_listener.hpp"

#include <utility>

namespace endiveward::router
{

peer_channel::peer_channel(std::shared_ptr<wire::i_connection> conn)
    : conn_(std::move(conn))
{
}

std::optional<std::uint64_t>
peer_channel::open_call(std::weak_ptr<i_call_listener> listener, leg_number leg)
{
    std::lock_guard const lock(mutex_);
    if (lost_)
        return std::nullopt;
    auto const id = ++last_call_id_;
    calls_.emplace(id, entry{std::move(listener), leg});
    return id;
}

void peer_channel::close_call(std::uint64_t call_id)
{
    std::lock_guard const lock(mutex_);
    calls_.erase(call_id);
}

void peer_channel::send(wire::message const& msg, wire::write_handler handler)
{
    // The periodic heartbeat is sent only on connections that sent nothing else
    // since the last check, so a heartbeat that counted would suppress the next
    // one.
    if (!std::holds_alternative<wire::heartbeat>(msg))
        sent_ = true;
    conn_->send(msg, std::move(handler));
}

std::optional<peer_channel::entry>
peer_channel::find(std::uint64_t call_id) const
{
    std::lock_guard const lock(mutex_);
    auto const it = calls_.find(call_id);
    if (it == calls_.end())
        return std::nullopt;
    return it->second;
}

template <typename Event, typename Message>
bool peer_channel::deliver(Message msg)
{
    auto const found = find(msg.call_id);
    if (!found)
        return false;
    auto const listener = found->listener.lock();
    if (!listener)
        return false;
    listener->on_call_event(Event{found->leg, std::move(msg)});
    return true;
}

bool peer_channel::dispatch(wire::verdict msg)
{
    return deliver<verdict_received>(std::move(msg));
}

bool peer_channel::dispatch(wire::chunk msg)
{
    return deliver<chunk_received>(std::move(msg));
}

bool peer_channel::dispatch(wire::call_end msg)
{
    return deliver<call_end_received>(std::move(msg));
}

void peer_channel::on_lost()
{
    std::unordered_map<std::uint64_t, entry> calls;
    {
        std::lock_guard const lock(mutex_);
        lost_ = true;
        calls.swap(calls_);
    }
    for (auto const& [id, it] : calls)
    {
        if (auto const listener = it.listener.lock())
            listener->on_call_event(agent_connection_lost{it.leg});
    }
}

std::size_t peer_channel::open_calls() const
{
    std::lock_guard const lock(mutex_);
    return calls_.size();
}

} // namespace endiveward::router
