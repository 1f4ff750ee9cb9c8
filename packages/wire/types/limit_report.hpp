#ifndef ENDIVEWARD_WIRE_TYPES_LIMIT_REPORT_HPP
#define ENDIVEWARD_WIRE_TYPES_LIMIT_REPORT_HPP

#include <cstdint>
#include <vector>

namespace endiveward::wire
{

/// An endpoint has named a limit of requests, or has stopped naming one.
struct limit_change
{
    /// Key of the endpoint and its incarnation, the same in all processes.
    std::uint64_t endpoint = 0;
    /// Requests a second, from all processes together.
    double rate = 0;
    bool ended = false;

    bool operator==(limit_change const&) const = default;
};

/// A request that was sent to an endpoint with a limit.
struct limited_request
{
    std::uint64_t endpoint = 0;
    /// Identifies the request, since it is reported in several ways.
    std::uint64_t request = 0;

    bool operator==(limited_request const&) const = default;
};

/// What a process tells the others about endpoints that name a limit for all of
/// them together.
struct limit_report
{
    std::vector<limit_change> changes;
    std::vector<limited_request> requests;

    bool empty() const { return changes.empty() && requests.empty(); }
    bool operator==(limit_report const&) const = default;
};

} // namespace endiveward::wire

#endif
