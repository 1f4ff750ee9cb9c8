#ifndef ENDIVEWARD_GATEWAY_UNAVAILABILITY_POLICY_HPP
#define ENDIVEWARD_GATEWAY_UNAVAILABILITY_POLICY_HPP

#include "gateway/types/unavailability_decision.hpp"

#include <chrono>
#include <span>

namespace endiveward::kernel
{
class i_clock;
}

namespace endiveward::gateway
{

struct endpoint_outage;
struct unserved_request;

/// Decides what happens to a request that no endpoint can take: it waits for a
/// short time, or is rejected with the time after which its caller may try
/// again.
class unavailability_policy
{
public:
    explicit unavailability_policy(kernel::i_clock const& clock);

    /// `endpoints` are all endpoints of the service.
    unavailability_decision decide(std::span<endpoint_outage const> endpoints,
                                   unserved_request const& request) const;

    /// Returns about `delay`, spread by the request's seed, and no more than
    /// the caller accepts.
    std::chrono::milliseconds
    retry_after(unserved_request const& request,
                std::chrono::milliseconds delay) const;

    /// Returns the longest delay that the caller accepts.
    std::chrono::milliseconds
    max_retry_after(unserved_request const& request) const;

private:
    struct outlook;

    outlook summarize(std::span<endpoint_outage const> endpoints) const;
    std::chrono::milliseconds limited(std::chrono::milliseconds low,
                                      std::chrono::milliseconds high,
                                      unserved_request const& request) const;
    std::chrono::milliseconds
    rejection_delay(outlook const& summary,
                    unserved_request const& request) const;

    kernel::i_clock const& clock_;
};

} // namespace endiveward::gateway

#endif
