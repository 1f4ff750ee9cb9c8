#ifndef ENDIVEWARD_AVAILABILITY_TYPES_REQUEST_LIMIT_SETTINGS_HPP
#define ENDIVEWARD_AVAILABILITY_TYPES_REQUEST_LIMIT_SETTINGS_HPP

#include <chrono>

namespace endiveward::availability
{

/// Settings of `request_limit`.
struct request_limit_settings
{
    /// An endpoint that took no requests could not say that its limit has
    /// ended, so that it gets at least this many a second.
    double min_rate = 0.1;
    /// After a time without requests, as many may be sent at once as the limit
    /// allows in this time, but at least one.
    std::chrono::milliseconds max_burst{500};
    /// Processes that did not know of each other's requests make up for at most
    /// this time.
    std::chrono::milliseconds max_debt{4000};
    /// An end of the limit that another process reports is ignored within this
    /// time after a response has named the limit to this one.
    std::chrono::milliseconds min_time_named{1000};
};

} // namespace endiveward::availability

#endif
