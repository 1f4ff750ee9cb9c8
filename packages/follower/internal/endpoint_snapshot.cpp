#include "follower/endpoint_snapshot.hpp"

#include <algorithm>

namespace endiveward::follower
{

namespace
{

/// Agents with lists of different age compute slightly different schedules,
/// which only makes groups of engines that load at the same time uneven.
constexpr std::chrono::seconds retention{60};

} // namespace

void endpoint_snapshot::set(std::vector<gateway::endpoint_entry> entries,
                            kernel::steady_time now)
{
    entries_ = std::move(entries);
    read_at_ = now;
}

gateway::endpoint_entry const*
endpoint_snapshot::at(kernel::socket_address const& address) const
{
    auto const found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](auto const& it) {
                                        return it.host == address.host &&
                                               it.port == address.port;
                                    });
    return found == entries_.end() ? nullptr : &*found;
}

bool endpoint_snapshot::usable(kernel::socket_address const& own,
                               kernel::steady_time now) const
{
    return at(own) != nullptr && now - read_at_ < retention;
}

} // namespace endiveward::follower
