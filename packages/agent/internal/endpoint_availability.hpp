#ifndef ENDIVEWARD_AGENT_ENDPOINT_AVAILABILITY_HPP
#define ENDIVEWARD_AGENT_ENDPOINT_AVAILABILITY_HPP

#include "availability/endpoint_pause.hpp"
#include "availability/request_limit.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/error.hpp"
#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <cstdint>
#include <optional>

namespace endiveward::agent
{

struct endpoint_notices;

/// Decides from what the endpoint says about itself whether a call may be sent
/// to it. All calls of the endpoint pass through this process.
class endpoint_availability
{
public:
    endpoint_availability();

    /// Forgets what an earlier incarnation has said; zero if the endpoint has
    /// none.
    void on_incarnation(kernel::incarnation incarnation);
    /// The head of a response to a call that was started at `started`.
    void on_notices(endpoint_notices const& notices,
                    kernel::steady_time started, kernel::steady_time now);

    /// Returns the reason for refusing a new call beside `others` that have not
    /// ended. Counts the call against the limit otherwise.
    std::optional<kernel::error> admit(kernel::steady_time now,
                                       std::uint32_t others);
    /// The same for a call that was admitted before. `counted` tells whether
    /// there was a limit then.
    std::optional<kernel::error> start(kernel::steady_time now, bool counted);

    /// Whether the endpoint names a limit of requests.
    bool limited() const { return limit_.rate().has_value(); }
    /// Time until the endpoint takes the next call.
    std::chrono::milliseconds wait(kernel::steady_time now) const;

private:
    bool leaving(kernel::steady_time now) const;
    std::optional<kernel::error> check(kernel::steady_time now) const;
    std::optional<kernel::error> check_limit(kernel::steady_time now);

    availability::request_limit limit_;
    availability::endpoint_pause pause_;
    /// When the endpoint last announced its exit.
    std::optional<kernel::steady_time> leaving_announced_at_;
    kernel::incarnation incarnation_ = 0;
};

} // namespace endiveward::agent

#endif
