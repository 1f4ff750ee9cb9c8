#ifndef ENDIVEWARD_RESUMPTION_TYPES_VERSION_ROW_HPP
#define ENDIVEWARD_RESUMPTION_TYPES_VERSION_ROW_HPP

#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <optional>

namespace endiveward::resumption
{

/// A software version that a service has or had. Times are of the store's
/// clock.
struct version_row
{
    kernel::service_id service;
    kernel::software_version software;
    std::chrono::milliseconds listed{0};
    /// When no endpoint had it any more.
    std::optional<std::chrono::milliseconds> gone;

    bool operator==(version_row const&) const = default;
};

} // namespace endiveward::resumption

#endif
