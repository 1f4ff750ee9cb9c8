#ifndef ENDIVEWARD_AGENT_CACHE_FEEDER_HPP
#define ENDIVEWARD_AGENT_CACHE_FEEDER_HPP

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

/// Fills the cache index from the engine's listing and events. Used on the
/// traffic thread.
class cache_feeder : public std::enable_shared_from_this<cache_feeder>
{
    asio::io_context& context_;
    std::shared_ptr<i_endpoint_client> endpoint_;
    std::shared_ptr<admission::i_cache_index> index_;
    std::shared_ptr<agent_metrics> metrics_;

public:
    cache_feeder(asio::io_context& context,
                 std::shared_ptr<i_endpoint_client> endpoint,
                 std::shared_ptr<admission::i_cache_index> index,
                 std::shared_ptr<agent_metrics> metrics);

    void start();
    void stop();
    /// The engine reported this incarnation.
    void on_engine(kernel::incarnation engine);

private:
    /// Answers of queries that were sent before a relisting are ignored.
    using generation = std::uint64_t;

    void relist();
    /// Empties the index until the next listing.
    void forget();
    void on_listing(generation from, kernel::result<cache_listing> answer);
    void poll_events();
    void on_events(
        generation from,
        kernel::result<std::vector<admission::cache_event>> const& answer);
    void publish_size();
    void retry_later();

    asio::steady_timer timer_;
    generation current_ = 0;
    kernel::incarnation incarnation_ = 0;
    std::uint64_t last_event_ = 0;
    bool running_ = false;
};

} // namespace endiveward::agent

#endif
