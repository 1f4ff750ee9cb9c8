#ifndef ENDIVEWARD_QUOTA_TYPES_ADMISSION_HPP
#define ENDIVEWARD_QUOTA_TYPES_ADMISSION_HPP

#include <chrono>
#include <variant>

namespace endiveward::quota
{

/// The request may be sent.
struct within_limit
{
};

/// The workspace is over its limit until about this time has passed.
struct over_limit
{
    std::chrono::milliseconds delay{0};
};

using admission = std::variant<within_limit, over_limit>;

} // namespace endiveward::quota

#endif
