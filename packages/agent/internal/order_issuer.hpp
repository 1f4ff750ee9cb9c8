#ifndef ENDIVEWARD_AGENT_ORDER_ISSUER_HPP
#define ENDIVEWARD_AGENT_ORDER_ISSUER_HPP

#include "agent/types/engine_order.hpp"
#include "kernel/types/result.hpp"

#include <functional>
#include <memory>

namespace endiveward::admission
{
class i_order_lease;
}

namespace endiveward::agent
{

class i_endpoint_client;

/// Sends orders to the engine while holding the endpoint's lease. Used on one
/// thread.
class order_issuer
{
    std::shared_ptr<admission::i_order_lease> lease_;
    std::shared_ptr<i_endpoint_client> endpoint_;

public:
    using handler = std::function<void(kernel::result<kernel::done>)>;

    order_issuer(std::shared_ptr<admission::i_order_lease> lease,
                 std::shared_ptr<i_endpoint_client> endpoint);

    /// Sends the order with the lease's fencing number. Fails with
    /// `store_unavailable` (not run) if the lease is not held or may have
    /// expired.
    void issue(engine_order order, handler on_done);
};

} // namespace endiveward::agent

#endif
