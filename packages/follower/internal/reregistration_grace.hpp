#ifndef ENDIVEWARD_FOLLOWER_INTERNAL_REREGISTRATION_GRACE_HPP
#define ENDIVEWARD_FOLLOWER_INTERNAL_REREGISTRATION_GRACE_HPP

#include <chrono>

namespace endiveward::follower
{

/// Grace period for entries that expired during an outage of the store, or that
/// are absent after it was restored from a copy. The platform guarantees that
/// the entry of a live endpoint that reaches the store is back within about 2 s
/// of the store's return; one still missing after that is gone.
inline constexpr std::chrono::milliseconds reregistration_grace{2400};

} // namespace endiveward::follower

#endif
