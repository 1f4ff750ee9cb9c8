#ifndef ENDIVEWARD_ADMISSION_I_ORDER_LEASE_HPP
#define ENDIVEWARD_ADMISSION_I_ORDER_LEASE_HPP

#include <cstdint>
#include <optional>

namespace endiveward::admission
{

/// Lease that grants the exclusive right to send orders to an endpoint's
/// engine. Not thread-safe.
class i_order_lease
{
public:
    virtual ~i_order_lease() = default;

    /// Acquires the lease, or renews it when the renewal is due.
    virtual void tick() = 0;
    /// Fencing number for an order sent now; none if the lease is not held or
    /// is too close to its expiry.
    virtual std::optional<std::uint64_t> fencing_number() const = 0;
    /// Releases the lease, so that another process can acquire it before it
    /// expires.
    virtual void release() = 0;
};

} // namespace endiveward::admission

#endif
