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

/// Client of the endpoint that this agent serves. All methods are called on one
/// thread. Handlers run on the same thread, never before the method has
/// returned.
class i_endpoint_client
{
public:
    template <typename T>
    using handler = std::function<void(kernel::result<T>)>;

    virtual ~i_endpoint_client() = default;

    /// Sends a request. The caller chooses the id and never reuses it.
    virtual void start(std::uint64_t id, endpoint_request request,
                       i_endpoint_observer& observer) = 0;
    /// Stops reading the response until `resume`. Data already received, at
    /// most 256 KiB, is still delivered.
    virtual void pause(std::uint64_t id) = 0;
    virtual void resume(std::uint64_t id) = 0;
    /// Aborts the request locally and at the endpoint.
    virtual void cancel(std::uint64_t id) = 0;

    virtual void load(handler<engine_load> on_done) = 0;
    virtual void list_blocks(handler<cache_listing> on_done) = 0;
    /// Reads the cache events with numbers above `after`. Long poll: waits up
    /// to `wait` for the first one.
    virtual void
    events(std::uint64_t after, std::chrono::milliseconds wait,
           handler<std::vector<admission::cache_event>> on_done) = 0;
    /// Fails with `conflict` if the engine has seen a newer fencing number.
    virtual void order(engine_order const& new_order,
                       handler<kernel::done> on_done) = 0;
};

} // namespace endiveward::agent

#endif
