#ifndef ENDIVEWARD_AVAILABILITY_TYPES_LIMIT_NOTICE_HPP
#define ENDIVEWARD_AVAILABILITY_TYPES_LIMIT_NOTICE_HPP

#include <variant>

namespace endiveward::availability
{

/// The endpoint names no limit.
struct no_limit
{
    bool operator==(no_limit const&) const = default;
};

/// The endpoint takes this many requests from all processes together.
struct named_limit
{
    double requests_per_second = 0;

    bool operator==(named_limit const&) const = default;
};

struct unreadable_limit
{
    bool operator==(unreadable_limit const&) const = default;
};

/// What an answer of an endpoint says about the requests that it takes.
using limit_notice = std::variant<no_limit, named_limit, unreadable_limit>;

} // namespace endiveward::availability

#endif
