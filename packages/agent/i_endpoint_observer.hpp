#ifndef ENDIVEWARD_AGENT_I_ENDPOINT_OBSERVER_HPP
#define ENDIVEWARD_AGENT_I_ENDPOINT_OBSERVER_HPP

#include <cstdint>
#include <string>

namespace endiveward::agent
{

struct endpoint_result;

/// Receives the answers of the endpoint, on the thread of the client.
class i_endpoint_observer
{
public:
    virtual ~i_endpoint_observer() = default;
    /// A part of the answer, in order and without repetition: for a stream one
    /// event in the form `data: <json>\n\n`.
    virtual void on_chunk(std::uint64_t id, std::string bytes) = 0;
    /// Called once, last; not after `cancel`.
    virtual void on_end(std::uint64_t id, endpoint_result const& end) = 0;
};

} // namespace endiveward::agent

#endif
