#ifndef ENDIVEWARD_AGENT_CACHE_LISTING_HPP
#define ENDIVEWARD_AGENT_CACHE_LISTING_HPP

#include "kernel/types/hash128.hpp"
#include "kernel/types/identifiers.hpp"

#include <cstdint>
#include <vector>

namespace endiveward::agent
{

/// Snapshot of the blocks in an engine's cache, including all events up to
/// `last_event`.
struct cache_listing
{
    kernel::incarnation incarnation = 0;
    std::uint64_t last_event = 0;
    std::vector<kernel::hash128> blocks;
};

} // namespace endiveward::agent

#endif
