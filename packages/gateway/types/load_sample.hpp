#ifndef ENDIVEWARD_GATEWAY_TYPES_LOAD_SAMPLE_HPP
#define ENDIVEWARD_GATEWAY_TYPES_LOAD_SAMPLE_HPP

#include "kernel/i_clock.hpp"

#include <cstdint>
#include <variant>

namespace endiveward::gateway
{

/// An endpoint does not say how long work takes there.
struct no_work_figure
{
    bool operator==(no_work_figure const&) const = default;
};

/// What an endpoint says about it is no number or out of range.
struct unreadable_work_figure
{
    bool operator==(unreadable_work_figure const&) const = default;
};

/// How long work takes at an endpoint now, as a multiple of the usual time.
struct work_figure
{
    double factor = 1;

    bool operator==(work_figure const&) const = default;
};

using reported_work_figure =
    std::variant<no_work_figure, unreadable_work_figure, work_figure>;

/// The load of an endpoint, as reported by a response or by the endpoint's
/// agent.
struct load_sample
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    kernel::steady_time at{};
    /// Requests that this process had in flight at the endpoint at that time.
    std::uint32_t own_requests = 0;
    reported_work_figure figure{};
};

} // namespace endiveward::gateway

#endif
