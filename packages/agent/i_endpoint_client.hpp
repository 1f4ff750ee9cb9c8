#ifndef ENDIVEWARD_AGENT_I_ENDPOINT_CLIENT_HPP
#define ENDIVEWARD_AGENT_I_ENDPOINT_CLIENT_HPP

#include "admission/types/cache_event.hpp"
#include "agent/types/cache_listing.hpp"
#include "agent/types/endpoint_request.hpp"
#include "agent/types/engine_load.hpp"
#include "agent/types/engine_order.hpp"
#include "kernel/types/result.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <vector>

namespace endiveward::agent
{

class i_endpoint_observer;

/// The endpoint beside this agent. Used on one thread, on which all handlers
/// run, never before the method returns.
class i_endpoint_client
{
public:
    template <typename T>
    using handler = std::function<void(kernel::result<T>)>;

    virtual ~i_endpoint_client() = default;

    /// Sends a request. Ids are chosen by the caller and never reused.
    virtual void start(std::uint64_t id, endpoint_request call,
                       i_endpoint_observer& observer) = 0;
    /// Stops reading the answer until `resume`. Parts that are already
    /// received, at most 256 KiB, still arrive.
    virtual void pause(std::uint64_t id) = 0;
    virtual void resume(std::uint64_t id) = 0;
    /// Ends the call here and at the endpoint.
    virtual void cancel(std::uint64_t id) = 0;

    virtual void load(handler<engine_load> on_done) = 0;
    virtual void list_blocks(handler<cache_listing> on_done) = 0;
    /// Events after a number; waits up to `wait` for the first.
    virtual void events(std::uint64_t after, std::chrono::milliseconds wait,
                        handler<std::vector<admission::cache_event>> done) = 0;
    /// Error `conflict` means that the fencing number is old.
    virtual void order(engine_order const& what,
                       handler<kernel::done> on_done) = 0;
};

} // namespace endiveward::agent

#endif
