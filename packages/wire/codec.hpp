#ifndef ENDIVEWARD_WIRE_CODEC_HPP
#define ENDIVEWARD_WIRE_CODEC_HPP

#include "kernel/types/result.hpp"
#include "wire/types/message.hpp"

#include <cstdint>
#include <span>
#include <vector>

namespace endiveward::wire
{

/// Version of the message schema; both sides must have the same.
inline constexpr std::uint32_t protocol_version = 1;

/// Encodes a message as a FlatBuffers `envelope`.
std::vector<std::uint8_t> encode(message const& msg);

/// Decodes and verifies an `envelope`.
kernel::result<message> decode(std::span<std::uint8_t const> bytes);

/// Whether a message belongs to a call, as opposed to control traffic.
bool is_call_message(message const& msg);

} // namespace endiveward::wire

#endif
