#ifndef ENDIVEWARD_GATEWAY_PROMPT_DEMAND_HPP
#define ENDIVEWARD_GATEWAY_PROMPT_DEMAND_HPP

#include "kernel/i_clock.hpp"

#include <cstdint>

namespace endiveward::gateway
{

/// The prompt tokens that this process has recently sent to an endpoint to be
/// prefilled. Older ones count less.
class prompt_demand
{
public:
    void on_sent(std::uint32_t uncached_tokens, bool is_long,
                 kernel::steady_time now);
    /// Tokens of long prompts.
    double long_tokens(kernel::steady_time now) const;
    /// Tokens of all prompts.
    double tokens(kernel::steady_time now) const;

private:
    double weight(kernel::steady_time now) const;

    double long_tokens_ = 0;
    double tokens_ = 0;
    kernel::steady_time at_{};
};

} // namespace endiveward::gateway

#endif
