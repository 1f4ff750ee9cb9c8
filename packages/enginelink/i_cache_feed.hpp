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

/// A part of a prompt that an engine has stored or evicted.
struct cache_event
{
    std::string salt;
    std::string part;
    /// What is stored now; zero if nothing.
    std::uint32_t tokens = 0;
};

struct cache_event_batch
{
    /// Differs after a restart of the engine.
    std::uint64_t epoch = 0;
    /// Number of the first event of the next call.
    std::uint64_t next = 0;
    /// Events before these are missing.
    bool lost = false;
    std::vector<cache_event> events;
};

/// What an engine's cache holds, as events.
class i_cache_feed
{
public:
    virtual ~i_cache_feed() = default;

    /// Events from a number on, as soon as there are some or the wait is over.
    virtual void
    events(std::uint64_t since, std::chrono::milliseconds wait,
           std::function<void(kernel::result<cache_event_batch>)> on_done) = 0;
};

} // namespace endiveward::enginelink

#endif
