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

/// Writes the response to one request to its caller.
class i_response_writer
{
public:
    virtual ~i_response_writer() = default;

    /// Writes a complete response.
    virtual void answer(int status, header_list const& headers,
                        std::string body) = 0;
    /// Begins a response whose body follows. Without a length it is sent in
    /// chunked encoding, so that the caller can detect a truncated body.
    virtual void begin(int status, header_list const& headers,
                       std::optional<std::uint64_t> length) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void end() = 0;
    /// Closes the connection, so that the caller sees the response as
    /// truncated.
    virtual void abort() = 0;
    /// Number of bytes that are not yet written to the caller's connection.
    virtual std::size_t queued() const = 0;
};

} // namespace endiveward::gateway

#endif
