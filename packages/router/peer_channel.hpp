#ifndef ENDIVEWARD_ROUTER_PEER_CHANNEL_HPP
#define ENDIVEWARD_ROUTER_PEER_CHANNEL_HPP

#include "router/types/call_event.hpp"
#include "wire/i_connection.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace endiveward::router
{

class i_call_listener;

/// An open connection to a peer and the calls that it carries. The peer is an
/// agent or, without calls, another router. Safe for concurrent use.
class peer_channel
{
public:
    explicit peer_channel(std::shared_ptr<wire::i_connection> conn);

    wire::hello const& peer() const { return conn_->peer(); }
    std::shared_ptr<wire::i_connection> const& connection() const
    {
        return conn_;
    }

    /// Returns a call ID that is unique for the lifetime of the connection, or
    /// nothing if the connection is lost.
    std::optional<std::uint64_t>
    open_call(std::weak_ptr<i_call_listener> listener, leg_number leg);
    /// Messages that arrive for the call afterwards are dropped and counted.
    void close_call(std::uint64_t call_id);
    void send(wire::message const& msg, wire::write_handler handler = {});

    /// Delivers a message to its call. Returns false if no such call is open.
    bool dispatch(wire::verdict msg);
    bool dispatch(wire::chunk msg);
    bool dispatch(wire::call_end msg);
    /// Notifies all open calls that the connection is lost.
    void on_lost();

    std::size_t open_calls() const;
    /// Returns whether anything other than a heartbeat was sent since the
    /// previous call of this function.
    bool sent_since_last_check() { return sent_.exchange(false); }

private:
    struct entry
    {
        std::weak_ptr<i_call_listener> listener;
        leg_number leg = 0;
    };

    std::optional<entry> find(std::uint64_t call_id) const;
    template <typename Event, typename Message>
    bool deliver(Message msg);

    std::shared_ptr<wire::i_connection> const conn_;
    mutable std::mutex mutex_;
    std::atomic<bool> sent_{false};
    bool lost_ = false;
    std::uint64_t last_call_id_ = 0;
    std::unordered_map<std::uint64_t, entry> calls_;
};

} // namespace endiveward::router

#endif
