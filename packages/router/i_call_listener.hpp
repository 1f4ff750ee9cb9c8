#ifndef ENDIVEWARD_ROUTER_I_CALL_LISTENER_HPP
#define ENDIVEWARD_ROUTER_I_CALL_LISTENER_HPP

#include "router/types/call_event.hpp"

namespace endiveward::router
{

/// Receives the events of a call from the connection that carries it, on the
/// connection's thread.
class i_call_listener
{
public:
    virtual ~i_call_listener() = default;

    virtual void on_call_event(call_event event) = 0;
};

} // namespace endiveward::router

#endif
