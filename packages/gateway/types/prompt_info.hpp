#ifndef ENDIVEWARD_GATEWAY_TYPES_PROMPT_INFO_HPP
#define ENDIVEWARD_GATEWAY_TYPES_PROMPT_INFO_HPP

#include "kernel/types/identifiers.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace endiveward::gateway
{

struct prompt_part
{
    std::string id;
    std::uint32_t tokens = 0;
};

/// The caller's description of its prompt.
struct prompt_info
{
    kernel::model_id model;
    /// In order. Requests may share leading parts.
    std::vector<prompt_part> parts;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
};

} // namespace endiveward::gateway

#endif
