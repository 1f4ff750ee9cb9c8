#ifndef ENDIVEWARD_FOLLOWER_TYPES_FOLLOWER_OPTIONS_HPP
#define ENDIVEWARD_FOLLOWER_TYPES_FOLLOWER_OPTIONS_HPP

#include <chrono>
#include <string>

namespace endiveward::follower
{

/// How a table is followed.
struct follower_options
{
    std::string table;
    /// How long the store keeps a call waiting for changes. A store that falls
    /// silent is noticed after this and `answer_time`.
    std::chrono::milliseconds wait{4000};
    /// Pause after changes, so that those of many writers come with one call;
    /// each call has a price. Half of the time in which a leaving endpoint
    /// must be left alone (2 s in the shortest sheet).
    std::chrono::milliseconds coalescing_delay{1000};
    /// Time for an answer beyond the wait.
    std::chrono::milliseconds response_timeout{900};
    /// Pause after an error; it doubles up to the longest one.
    std::chrono::milliseconds initial_backoff{100};
    std::chrono::milliseconds max_backoff{1000};
};

} // namespace endiveward::follower

#endif
