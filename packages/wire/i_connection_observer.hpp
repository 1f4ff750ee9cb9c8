#ifndef ENDIVEWARD_WIRE_I_CONNECTION_OBSERVER_HPP
#define ENDIVEWARD_WIRE_I_CONNECTION_OBSERVER_HPP

#include "wire/types/message.hpp"

#include <memory>

namespace endiveward::kernel
{
struct error;
}

namespace endiveward::wire
{

class i_connection;

/// Receives the events of connections, on the thread of the connection.
class i_connection_observer
{
public:
    virtual ~i_connection_observer() = default;

    /// The connection is authenticated. Called before any `on_message`.
    virtual void on_open(std::shared_ptr<i_connection> const& conn) = 0;
    virtual void on_message(std::shared_ptr<i_connection> const& conn,
                            message msg) = 0;
    /// Called once for each connection that was opened.
    virtual void on_closed(std::shared_ptr<i_connection> const& conn,
                           kernel::error const& reason) = 0;
};

} // namespace endiveward::wire

#endif
