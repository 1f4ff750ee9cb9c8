#ifndef ENDIVEWARD_WEIGHTS_I_ORDER_CHANNEL_HPP
#define ENDIVEWARD_WEIGHTS_I_ORDER_CHANNEL_HPP

#include "kernel/types/result.hpp"
#include "weights/types/engine_report.hpp"
#include "weights/types/load_order.hpp"
#include "weights/types/order_outcome.hpp"

#include <functional>

namespace endiveward::weights
{

/// Control channel to the model engine on this VM: reads its reports and sends
/// it orders. Handlers run on the thread that called the method, after the
/// method has returned.
class i_order_channel
{
public:
    virtual ~i_order_channel() = default;

    virtual void
    read_report(std::function<void(kernel::result<engine_report>)> on_done) = 0;
    virtual void send(load_order const& order,
                      std::function<void(order_outcome)> on_done) = 0;
};

} // namespace endiveward::weights

#endif
