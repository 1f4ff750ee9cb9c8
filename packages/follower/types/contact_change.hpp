#ifndef ENDIVEWARD_FOLLOWER_TYPES_CONTACT_CHANGE_HPP
#define ENDIVEWARD_FOLLOWER_TYPES_CONTACT_CHANGE_HPP

#include "kernel/i_clock.hpp"
#include "kernel/types/store_position.hpp"

#include <chrono>
#include <string>

namespace endiveward::follower
{

/// The store stopped or began to answer.
struct contact_change
{
    bool reachable = false;
    /// Why the last call failed; empty if the store answers.
    std::string reason;
    /// Time from the last call to its answer or failure.
    std::chrono::milliseconds call_time{0};
    /// How long that call let the store wait for changes.
    std::chrono::milliseconds requested_wait{0};
    /// When the last call was made that failed. The store may have begun to
    /// answer at any time after it.
    kernel::steady_time last_failed_call{};
    /// Where the answer ends that showed that the store is back. What it
    /// reports may have happened before.
    kernel::store_position position{};
};

} // namespace endiveward::follower

#endif
