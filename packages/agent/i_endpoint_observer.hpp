#ifndef ENDIVEWARD_AGENT_I_ENDPOINT_OBSERVER_HPP
#define ENDIVEWARD_AGENT_I_ENDPOINT_OBSERVER_HPP

#include <cstdint>
#include <string>

namespace endiveward::agent
{

struct endpoint_notices;
struct endpoint_result;

/// Receives the endpoint's responses, on the client's thread.
class i_endpoint_observer
{
public:
    virtual ~i_endpoint_observer() = default;
    /// A response, also to an attempt to resume a stream, has begun.
    virtual void on_notices(std::uint64_t id,
                            endpoint_notices const& notices) = 0;
    /// A chunk of the response body, delivered in order and without duplicates.
    /// For a stream, each chunk is one event in the form `data: <json>\n\n`.
    virtual void on_chunk(std::uint64_t id, std::string bytes) = 0;
    /// Called once, after the last chunk; not called after `cancel`.
    virtual void on_end(std::uint64_t id, endpoint_result const& end) = 0;
};

} // namespace endiveward::agent

#endif
