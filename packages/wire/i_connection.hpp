#ifndef ENDIVEWARD_WIRE_I_CONNECTION_HPP
#define ENDIVEWARD_WIRE_I_CONNECTION_HPP

#include "wire/types/message.hpp"
#include "wire/types/write_outcome.hpp"

#include <functional>

namespace endiveward::wire
{

using write_handler = std::function<void(write_outcome)>;

/// An authenticated connection to another process. All methods may be called
/// from any thread; handlers run on the connection's own thread.
class i_connection
{
public:
    virtual ~i_connection() = default;

    /// What the other side said of itself when the connection was opened.
    virtual hello const& peer() const = 0;
    virtual bool is_open() const = 0;
    /// Sends a message. The handler is called exactly once.
    virtual void send(message const& msg, write_handler handler = {}) = 0;
    virtual void close() = 0;
};

} // namespace endiveward::wire

#endif
