#ifndef ENDIVEWARD_FOLLOWER_TYPES_FOLLOWER_OPTIONS_HPP
#define ENDIVEWARD_FOLLOWER_TYPES_FOLLOWER_OPTIONS_HPP

#include <chrono>
#include <string>

namespace endiveward::follower
{

/// How a `table_follower` learns of changes.
enum class follow_mode
{
    /// The store answers a call as soon as something changes.
    long_poll,
    /// The store is asked from time to time. For processes that usually learn
    /// of changes from others; calls of a large fleet are costly.
    periodic
};

/// Options of a `table_follower`.
struct follower_options
{
    std::string table;
    /// How long the store holds a call open while there are no changes. A store
    /// that stops answering is detected after this plus `response_timeout`; see
    /// `long_poll_time()`.
    std::chrono::milliseconds long_poll_time{1600};
    /// Delay between received changes and the next call, so that the changes of
    /// many writers arrive with one call; each call has a cost. Half of the
    /// shortest time within which routers must stop using a draining endpoint
    /// (2 s).
    std::chrono::milliseconds coalescing_delay{1000};
    /// Timeout of an answer in addition to `long_poll_time`.
    std::chrono::milliseconds response_timeout{900};
    /// Delay after an error; it doubles with each further error up to
    /// `max_backoff`.
    std::chrono::milliseconds initial_backoff{100};
    std::chrono::milliseconds max_backoff{1000};
    /// A table is read again at a random moment within this time after the
    /// first answer of a new era, since hundreds of processes receive one at
    /// the same moment. Not above the longest pause between two calls for
    /// changes, so that changes of the new era are known no later than others.
    std::chrono::milliseconds restored_read_spread{1000};
    /// Time between two calls in `follow_mode::periodic`.
    std::chrono::milliseconds period{20000};
};

} // namespace endiveward::follower

#endif
