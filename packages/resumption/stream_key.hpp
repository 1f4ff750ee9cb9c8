#ifndef ENDIVEWARD_RESUMPTION_STREAM_KEY_HPP
#define ENDIVEWARD_RESUMPTION_STREAM_KEY_HPP

#include <cstdint>
#include <string_view>

namespace endiveward::resumption
{

/// Identifies a stream by the id of the request that began it, in the same way
/// in all processes.
std::uint64_t stream_key(std::string_view request_id);

} // namespace endiveward::resumption

#endif
