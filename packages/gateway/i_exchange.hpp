#ifndef ENDIVEWARD_GATEWAY_I_EXCHANGE_HPP
#define ENDIVEWARD_GATEWAY_I_EXCHANGE_HPP

namespace endiveward::gateway
{

/// A request in progress.
class i_exchange
{
public:
    virtual ~i_exchange() = default;

    /// The caller has closed its connection.
    virtual void on_caller_gone() = 0;
    /// Queued bytes have been written to the caller.
    virtual void on_caller_ready() = 0;
    /// The process stops, or is one step further in its stop.
    virtual void on_stop() = 0;
};

} // namespace endiveward::gateway

#endif
