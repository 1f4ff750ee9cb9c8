#ifndef ENDIVEWARD_GATEWAY_HTTP_MESSAGE_LIMITS_HPP
#define ENDIVEWARD_GATEWAY_HTTP_MESSAGE_LIMITS_HPP

#include <cstddef>

namespace endiveward::gateway
{

/// Size limits of one HTTP message.
struct message_limits
{
    std::size_t header_bytes = 16U << 10U;
    std::size_t body_bytes = 4U << 20U;
};

} // namespace endiveward::gateway

#endif
