#ifndef ENDIVEWARD_GATEWAY_PROMPT_MIX_SETTING_HPP
#define ENDIVEWARD_GATEWAY_PROMPT_MIX_SETTING_HPP

#include "gateway/types/prompt_mix_mode.hpp"
#include "kernel/types/result.hpp"

#include <string>
#include <string_view>

namespace endiveward::gateway
{

/// Reads `on`, `off` or `auto`. An empty text means `off`.
kernel::result<prompt_mix_mode> parse_prompt_mix(std::string_view text);

/// Reads the setting from an environment variable.
kernel::result<prompt_mix_mode> read_prompt_mix(std::string const& variable);

} // namespace endiveward::gateway

#endif
