#include "enginelink/cache_follower.hpp"

#include "enginelink/i_cache_feed.hpp"

#include <asio/io_context.hpp>

namespace endiveward::enginelink
{

namespace
{

/// Long-poll timeout. Events can be read some tens of milliseconds after they
/// occur.
constexpr std::chrono::milliseconds poll_timeout{800};
constexpr std::chrono::milliseconds retry_delay{300};
/// Batches the events of a busy engine into fewer messages.
constexpr std::chrono::milliseconds coalescing_delay{60};

} // namespace

cache_follower::cache_follower(asio::io_context& context, i_cache_feed& feed,
                               part_key_function key_of, handler on_change)
    : feed_(feed)
    , key_of_(std::move(key_of))
    , on_change_(std::move(on_change))
    , timer_(context)
{
}

void cache_follower::start()
{
    poll();
}

void cache_follower::poll()
{
    feed_.events(next_, poll_timeout,
                 [this](kernel::result<cache_event_batch> res)
                 {
                     auto delay = retry_delay;
                     if (kernel::ok(res))
                     {
                         on_events(kernel::value(res));
                         delay = coalescing_delay;
                     }
                     timer_.expires_after(delay);
                     timer_.async_wait(
                         [this](std::error_code ec)
                         {
                             if (!ec)
                                 poll();
                         });
                 });
}

void cache_follower::on_events(cache_event_batch const& batch)
{
    auto const restarted = epoch_ != 0 && batch.epoch != epoch_;
    epoch_ = batch.epoch;
    // Event numbers start again with a restart, so this batch may lack some
    // events. The next poll reads all events of the new epoch.
    next_ = restarted ? 0 : batch.next;
    std::vector<wire::cached_part> parts;
    if (!restarted)
    {
        parts.reserve(batch.events.size());
        for (auto const& it : batch.events)
            parts.push_back({key_of_(it.salt, it.part), it.tokens});
    }
    on_change_(restarted || batch.lost, std::move(parts));
}

} // namespace endiveward::enginelink
