#ifndef ENDIVEWARD_ROUTER_I_CALLER_RESPONSE_HPP
#define ENDIVEWARD_ROUTER_I_CALLER_RESPONSE_HPP

#include "wire/types/header.hpp"

#include <functional>
#include <string>
#include <vector>

namespace endiveward::router
{

/// The response to one HTTP request: either `send_complete`, or `begin_stream`,
/// any number of `write` and `end_stream`. Used by one thread at a time.
class i_caller_response
{
public:
    using headers = std::vector<wire::header>;
    using write_handler = std::function<void(bool written)>;

    virtual ~i_caller_response() = default;

    virtual void send_complete(int status, headers const& fields,
                               std::string body) = 0;
    virtual void begin_stream(int status, headers const& fields) = 0;
    /// The handler is called, from any thread, when the bytes were handed to
    /// the operating system or the connection was lost. It may be empty.
    virtual void write(std::string bytes, write_handler on_written) = 0;
    virtual void end_stream() = 0;
};

} // namespace endiveward::router

#endif
