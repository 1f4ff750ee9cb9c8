#ifndef ENDIVEWARD_RESUMPTION_TYPES_VERSION_NOTICE_HPP
#define ENDIVEWARD_RESUMPTION_TYPES_VERSION_NOTICE_HPP

#include <cstdint>

namespace endiveward::resumption
{

/// Tells other routers that a row of a software version was written.
struct version_notice
{
    /// The upper half identifies the service, the lower half the version and
    /// the era of the store.
    std::uint64_t key = 0;
    /// Version of the row, negative if the software version is gone.
    double row_version = 0;

    bool operator==(version_notice const&) const = default;
};

} // namespace endiveward::resumption

#endif
