#ifndef ENDIVEWARD_ENGINELINK_I_CACHE_FEED_HPP
#define ENDIVEWARD_ENGINELINK_I_CACHE_FEED_HPP

#include "kernel/types/result.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace endiveward::enginelink
{

/// A part of a prompt that an engine has stored in its cache or evicted.
struct cache_event
{
    std::string salt;
    std::string part;
    /// Number of tokens stored now; 0 if the part was evicted.
    std::uint32_t tokens = 0;
};

struct cache_event_batch
{
    /// Changes when the engine restarts.
    std::uint64_t epoch = 0;
    /// Event number from which the next call continues.
    std::uint64_t next = 0;
    /// Set if events before these were lost.
    bool lost = false;
    std::vector<cache_event> events;
};

/// Event feed of the contents of an engine's cache.
class i_cache_feed
{
public:
    virtual ~i_cache_feed() = default;

    /// Long poll: reads events from number `since` on, as soon as there are any
    /// or `wait` has passed.
    virtual void
    events(std::uint64_t since, std::chrono::milliseconds wait,
           std::function<void(kernel::result<cache_event_batch>)> on_done) = 0;
};

} // namespace endiveward::enginelink

#endif
