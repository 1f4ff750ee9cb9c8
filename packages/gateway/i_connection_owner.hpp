#ifndef ENDIVEWARD_GATEWAY_I_CONNECTION_OWNER_HPP
#define ENDIVEWARD_GATEWAY_I_CONNECTION_OWNER_HPP

#include <vector>

namespace endiveward::gateway
{

class caller_connection;

/// Owns the callers' connections of one thread.
class i_connection_owner
{
public:
    virtual ~i_connection_owner() = default;

    /// Where bytes are read to. It is shared, so that idle connections take
    /// little memory.
    virtual std::vector<char>& scratch() = 0;
    /// A connection has read something and there is no memory left. Connections
    /// may be closed within the call.
    virtual void on_memory_full() = 0;
    virtual void on_closed(caller_connection& connection) = 0;
};

} // namespace endiveward::gateway

#endif
