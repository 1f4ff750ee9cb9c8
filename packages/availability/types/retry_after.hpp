#ifndef ENDIVEWARD_AVAILABILITY_TYPES_RETRY_AFTER_HPP
#define ENDIVEWARD_AVAILABILITY_TYPES_RETRY_AFTER_HPP

#include <chrono>
#include <variant>

namespace endiveward::availability
{

/// The endpoint asks for no requests for this time.
struct requested_pause
{
    std::chrono::milliseconds time{0};
    /// It asked for more than is accepted.
    bool limited = false;

    bool operator==(requested_pause const&) const = default;
};

/// The field is absent, or asks for no time.
struct no_pause
{
    bool operator==(no_pause const&) const = default;
};

struct unreadable_pause
{
    bool operator==(unreadable_pause const&) const = default;
};

/// What an endpoint asks for with the field `Retry-After`.
using retry_after = std::variant<no_pause, requested_pause, unreadable_pause>;

} // namespace endiveward::availability

#endif
