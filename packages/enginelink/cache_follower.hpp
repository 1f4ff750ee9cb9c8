#ifndef ENDIVEWARD_ENGINELINK_CACHE_FOLLOWER_HPP
#define ENDIVEWARD_ENGINELINK_CACHE_FOLLOWER_HPP

#include "wire/types/cached_part.hpp"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace endiveward::enginelink
{

class i_cache_feed;
struct cache_event_batch;

/// Follows the events of one cache. After a restart or lost events it reports
/// an empty cache: a cached part that is not known costs only a transfer.
class cache_follower
{
public:
    using part_key_function = std::function<std::uint64_t(
        std::string_view salt, std::string_view part)>;
    using handler =
        std::function<void(bool reset, std::vector<wire::cached_part> parts)>;

    cache_follower(asio::io_context& context, i_cache_feed& feed,
                   part_key_function key_of, handler on_change);

    void start();

private:
    void poll();
    void on_events(cache_event_batch const& batch);

    i_cache_feed& feed_;
    part_key_function key_of_;
    handler on_change_;
    asio::steady_timer timer_;
    std::uint64_t epoch_ = 0;
    std::uint64_t next_ = 0;
};

} // namespace endiveward::enginelink

#endif
