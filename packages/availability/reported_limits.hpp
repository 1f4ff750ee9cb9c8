#ifndef ENDIVEWARD_AVAILABILITY_REPORTED_LIMITS_HPP
#define ENDIVEWARD_AVAILABILITY_REPORTED_LIMITS_HPP

#include "kernel/i_clock.hpp"
#include "wire/types/limit_report.hpp"

#include <cstdint>
#include <unordered_map>

namespace endiveward::availability
{

/// Keeps the limits of endpoints that processes have reported, for those that
/// connect later.
class reported_limits
{
public:
    void on_report(wire::limit_report const& report, kernel::steady_time now);
    /// The limits that are in force, as far as known.
    wire::limit_report snapshot(kernel::steady_time now) const;

private:
    struct entry
    {
        double rate = 0;
        kernel::steady_time reported_at{};
    };

    void forget_expired(kernel::steady_time now);

    std::unordered_map<std::uint64_t, entry> limits_;
};

} // namespace endiveward::availability

#endif
