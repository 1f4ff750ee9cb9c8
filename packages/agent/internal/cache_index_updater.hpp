#ifndef ENDIVEWARD_AGENT_CACHE_INDEX_UPDATER_HPP
#define ENDIVEWARD_AGENT_CACHE_INDEX_UPDATER_HPP

#include "admission/types/cache_event.hpp"
#include "agent/types/cache_listing.hpp"
#include "kernel/types/result.hpp"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace endiveward::admission
{
class i_cache_index;
}

namespace endiveward::agent
{

class agent_metrics;
class i_endpoint_client;

/// Keeps the cache index in sync with the engine: reads a full listing, then
/// applies events. Used on the traffic thread.
class cache_index_updater
    : public std::enable_shared_from_this<cache_index_updater>
{
    asio::io_context& context_;
    std::shared_ptr<i_endpoint_client> endpoint_;
    std::shared_ptr<admission::i_cache_index> index_;
    std::shared_ptr<agent_metrics> metrics_;

public:
    cache_index_updater(asio::io_context& context,
                        std::shared_ptr<i_endpoint_client> endpoint,
                        std::shared_ptr<admission::i_cache_index> index,
                        std::shared_ptr<agent_metrics> metrics);

    void start();
    void stop();
    /// Called with the engine incarnation of each load report.
    void on_engine_incarnation(kernel::incarnation engine);

private:
    /// Number of the latest relisting. Responses to queries of earlier
    /// generations are ignored.
    using generation = std::uint64_t;

    void relist();
    /// Clears the index, which stays empty until the next listing.
    void clear_index();
    void on_listing(generation query_generation,
                    kernel::result<cache_listing> response);
    void poll_events();
    void on_events(
        generation query_generation,
        kernel::result<std::vector<admission::cache_event>> const& response);
    void publish_metrics();
    void schedule_relist();

    asio::steady_timer timer_;
    generation generation_ = 0;
    kernel::incarnation incarnation_ = 0;
    std::uint64_t last_event_ = 0;
    bool running_ = false;
};

} // namespace endiveward::agent

#endif
