#ifndef ENDIVEWARD_GATEWAY_I_RESPONSE_WRITER_HPP
#define ENDIVEWARD_GATEWAY_I_RESPONSE_WRITER_HPP

#include "gateway/http/header_list.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiveward::gateway
{

/// Takes the answer to one request back to its caller.
class i_response_writer
{
public:
    virtual ~i_response_writer() = default;

    /// A whole answer.
    virtual void answer(int status, header_list const& headers,
                        std::string body) = 0;
    /// Begins an answer whose body follows. Without a length it is sent in
    /// chunks, so that one that is cut off cannot look complete.
    virtual void begin(int status, header_list const& headers,
                       std::optional<std::uint64_t> length) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void end() = 0;
    /// Closes the connection, so that the caller sees no complete answer.
    virtual void abort() = 0;
    /// Bytes that the caller has not taken yet.
    virtual std::size_t queued() const = 0;
};

} // namespace endiveward::gateway

#endif
