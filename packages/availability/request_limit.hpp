#ifndef ENDIVEWARD_AVAILABILITY_REQUEST_LIMIT_HPP
#define ENDIVEWARD_AVAILABILITY_REQUEST_LIMIT_HPP

#include "availability/types/request_limit_settings.hpp"
#include "kernel/i_clock.hpp"

#include <optional>

namespace endiveward::availability
{

/// Decides when requests may be sent to an endpoint that names how many
/// requests a second it takes from all processes together.
class request_limit
{
public:
    explicit request_limit(request_limit_settings settings = {});

    /// A response named the limit, in requests a second. Returns true if it has
    /// changed.
    bool on_named(double rate, kernel::steady_time now);
    /// A response to a request that was sent at `sent` named no limit. Returns
    /// true if this ends the limit.
    bool on_not_named(kernel::steady_time sent, kernel::steady_time now);
    /// Another process was named the limit. Returns true if it has changed.
    bool on_reported(double rate, kernel::steady_time now);
    /// Another process has learned that the limit has ended. Returns true if it
    /// ends here, too.
    bool on_end_reported(kernel::steady_time now);
    /// The endpoint's agent reports the limit that its own calls were named;
    /// no value if none. Returns true if the limit has changed.
    bool on_agent_report(std::optional<double> rate, kernel::steady_time now);
    /// The endpoint has restarted.
    void reset();

    /// This process or another one has sent a request.
    void on_sent(kernel::steady_time now);
    /// Sets which part of the limit this process may use: all of it while it
    /// learns what the other processes send, and its share otherwise.
    void set_share(double share, kernel::steady_time now);

    /// The limit in force, in requests a second.
    std::optional<double> rate() const;
    /// When the next request may be sent; no value if it may be sent now.
    std::optional<kernel::steady_time>
    blocked_until(kernel::steady_time now) const;

private:
    double refill_rate() const;
    double max_level() const;
    double level(kernel::steady_time now) const;
    void settle(kernel::steady_time now);
    bool set(std::optional<double>& source, std::optional<double> rate,
             kernel::steady_time now);

    request_limit_settings settings_;
    /// As named by responses to requests, and to calls of the agent.
    std::optional<double> named_;
    std::optional<double> named_to_agent_;
    kernel::steady_time last_named_{};
    kernel::steady_time last_named_here_{};
    double share_ = 1;
    /// Requests that may be sent, negative after more than the limit, at
    /// `settled_at_`.
    double level_ = 0;
    kernel::steady_time settled_at_{};
};

} // namespace endiveward::availability

#endif
