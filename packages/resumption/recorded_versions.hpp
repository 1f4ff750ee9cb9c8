#ifndef ENDIVEWARD_RESUMPTION_RECORDED_VERSIONS_HPP
#define ENDIVEWARD_RESUMPTION_RECORDED_VERSIONS_HPP

#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"

#include <chrono>
#include <optional>
#include <set>
#include <vector>

namespace endiveward::resumption
{

/// What the store's rows and the router's list tell of the software versions
/// that services had.
struct recorded_versions
{
    struct item
    {
        kernel::service_id service;
        kernel::software_version software;
        /// When no endpoint had it any more.
        std::optional<kernel::steady_time> gone;

        bool operator==(item const&) const = default;
    };

    std::vector<item> items;
    /// No version that streams have begun at since then is missing; none if
    /// the rows are not known.
    std::optional<kernel::steady_time> complete_since;
    /// Services of which another router has recorded a version that this one
    /// does not know yet.
    std::set<kernel::service_id> outdated;
    /// While this router may miss what others record: when the last read of the
    /// rows began. None while it hears of all rows.
    std::optional<kernel::steady_time> known_until;

    /// Versions at which streams that began within the lifetime may have
    /// begun.
    std::set<kernel::software_version>
    versions_of(kernel::service_id const& service,
                std::chrono::milliseconds lifetime,
                kernel::steady_time now) const;
    /// Whether `versions_of` contains all of them.
    bool complete(kernel::service_id const& service,
                  std::chrono::milliseconds lifetime,
                  kernel::steady_time now) const;

    /// Whether no version is missing that others recorded before this time.
    bool known_at(kernel::steady_time at) const;

    bool operator==(recorded_versions const&) const = default;
};

} // namespace endiveward::resumption

#endif
