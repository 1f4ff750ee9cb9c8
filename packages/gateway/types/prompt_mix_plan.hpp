#ifndef ENDIVEWARD_GATEWAY_TYPES_PROMPT_MIX_PLAN_HPP
#define ENDIVEWARD_GATEWAY_TYPES_PROMPT_MIX_PLAN_HPP

#include <vector>

namespace endiveward::gateway
{

class endpoint_record;

/// Where a prompt should be placed for the sake of prompts of the other kind.
struct prompt_mix_plan
{
    bool is_long = false;
    /// The endpoints that long prompts prefer and others avoid, sorted by
    /// address. If it is empty, all endpoints serve both kinds.
    std::vector<endpoint_record const*> long_share;
};

} // namespace endiveward::gateway

#endif
