#include "enginelink/cache_follower.hpp"

#include "enginelink/i_cache_feed.hpp"

#include <asio/io_context.hpp>

namespace endiveward::enginelink
{

namespace
{

/// Events are only some tens of milliseconds old when they can be read.
constexpr std::chrono::milliseconds wait{800};
constexpr std::chrono::milliseconds pause_after_error{300};
/// Collects the events of a busy engine, so that they make fewer messages.
constexpr std::chrono::milliseconds pause_after_events{60};

} // namespace

cache_follower::cache_follower(asio::io_context& context, i_cache_feed& feed,
                               part_key key_of, handler on_change)
    : feed_(feed)
    , key_of_(std::move(key_of))
    , on_change_(std::move(on_change))
    , timer_(context)
{
}

void cache_follower::start()
{
    ask();
}

void cache_follower::ask()
{
    feed_.events(next_, wait,
                 [this](kernel::result<cache_event_batch> res)
                 {
                     auto pause = pause_after_error;
                     if (kernel::ok(res))
                     {
                         on_events(kernel::value(res));
                         pause = pause_after_events;
                     }
                     timer_.expires_after(pause);
                     timer_.async_wait(
                         [this](std::error_code ec)
                         {
                             if (!ec)
                                 ask();
                         });
                 });
}

void cache_follower::on_events(cache_event_batch const& batch)
{
    auto const restarted = epoch_ != 0 && batch.epoch != epoch_;
    epoch_ = batch.epoch;
    // The numbers of events begin anew with a restart, so this answer may
    // have left some out.
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
