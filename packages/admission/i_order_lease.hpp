#ifndef ENDIVEWARD_ADMISSION_I_ORDER_LEASE_HPP
#define ENDIVEWARD_ADMISSION_I_ORDER_LEASE_HPP

#include <cstdint>
#include <optional>

namespace endiveward::admission
{

/// The right to give orders to an endpoint's engine. Used on one thread.
class i_order_lease
{
public:
    virtual ~i_order_lease() = default;

    /// Acquires or renews the lease when it is due.
    virtual void tick() = 0;
    /// The fencing number to put on an order that is sent now; none if the
    /// lease is not held or is too close to its expiry.
    virtual std::optional<std::uint64_t> fencing_number() const = 0;
    /// Gives the lease back, so that another process need not wait for its
    /// expiry.
    virtual void release() = 0;
};

} // namespace endiveward::admission

#endif
