#ifndef ENDIVEWARD_GATEWAY_I_EXCHANGE_HPP
#define ENDIVEWARD_GATEWAY_I_EXCHANGE_HPP

namespace endiveward::gateway
{

/// A request that is being served.
class i_exchange
{
public:
    virtual ~i_exchange() = default;

    /// The caller has closed its connection.
    virtual void on_caller_gone() = 0;
    /// The caller has taken bytes that were queued for it.
    virtual void on_caller_ready() = 0;
};

} // namespace endiveward::gateway

#endif
