#ifndef ENDIVEWARD_GATEWAY_TYPES_PROMPT_MIX_MODE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_PROMPT_MIX_MODE_HPP

#include <cstdint>

namespace endiveward::gateway
{

/// When `prompt_mix` takes part in placement.
enum class prompt_mix_mode : std::uint8_t
{
    off,
    on,
    /// For requests whose service is contended.
    automatic,
};

} // namespace endiveward::gateway

#endif
