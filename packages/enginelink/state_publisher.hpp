#ifndef ENDIVEWARD_ENGINELINK_STATE_PUBLISHER_HPP
#define ENDIVEWARD_ENGINELINK_STATE_PUBLISHER_HPP

#include "kernel/i_clock.hpp"
#include "kernel/types/result.hpp"
#include "wire/types/cached_part.hpp"
#include "wire/types/cluster_key.hpp"
#include "wire/types/engine_state.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace endiveward::kernel
{
class thread_pool;
}

namespace endiveward::wire
{
class acceptor;
class i_local_identity;
} // namespace endiveward::wire

namespace endiveward::enginelink
{

class i_row_source;

/// The agent's side of the links: publishes the engine's state and cache to the
/// connected routers. Used on the thread of the pool's only context.
class state_publisher
{
public:
    state_publisher(kernel::thread_pool& pool, kernel::i_clock const& clock,
                    wire::cluster_key key,
                    std::shared_ptr<wire::i_local_identity const> identity,
                    i_row_source& rows);
    ~state_publisher();
    state_publisher(state_publisher const&) = delete;
    state_publisher& operator=(state_publisher const&) = delete;

    kernel::result<std::uint16_t> listen(std::string const& address,
                                         std::uint16_t port);
    /// Publishes the state if it has changed: weights, reloading, leaving
    /// and reachability immediately, load with the next report.
    void publish(wire::engine_state const& state);
    /// Publishes changes of the cache with the next report. The time between
    /// reports grows with the number of connected routers.
    void publish_cache(bool reset, std::vector<wire::cached_part> const& parts);
    /// Requests rows newer than the local ones from all connected routers.
    void request_rows();
    /// Closes all links, which the routers notice immediately.
    void close();
    std::size_t routers() const;
    /// Time of the last request of a router for rows; none if there was none.
    std::optional<kernel::steady_time> last_row_request() const;

private:
    class observer;

    std::shared_ptr<observer> observer_;
    std::unique_ptr<wire::acceptor> acceptor_;
};

} // namespace endiveward::enginelink

#endif
