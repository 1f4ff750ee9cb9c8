#include "agent/internal/order_issuer.hpp"

#include "admission/i_order_lease.hpp"
#include "agent/i_endpoint_client.hpp"

#include <utility>

namespace endiveward::agent
{

order_issuer::order_issuer(std::shared_ptr<admission::i_order_lease> lease,
                           std::shared_ptr<i_endpoint_client> endpoint)
    : lease_(std::move(lease))
    , endpoint_(std::move(endpoint))
{
}

void order_issuer::issue(engine_order order, handler on_done)
{
    // Read immediately before each order, because the lease may have expired in
    // the meantime.
    auto const number = lease_->fencing_number();
    if (!number)
        return on_done(kernel::error{kernel::error_kind::store_unavailable,
                                     "the order lease is not held; the order "
                                     "is sent once it is acquired",
                                     kernel::run_state::not_run,
                                     {}});
    order.fencing_number = *number;
    endpoint_->order(order, std::move(on_done));
}

} // namespace endiveward::agent
