#ifndef ENDIVEWARD_GATEWAY_HTTP_I_RESPONSE_SINK_HPP
#define ENDIVEWARD_GATEWAY_HTTP_I_RESPONSE_SINK_HPP

#include <string_view>

namespace endiveward::gateway
{

struct response_head;

/// Receives the parts of a response in order.
class i_response_sink
{
public:
    virtual ~i_response_sink() = default;

    virtual void on_head(response_head const& head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_end() = 0;
};

} // namespace endiveward::gateway

#endif
