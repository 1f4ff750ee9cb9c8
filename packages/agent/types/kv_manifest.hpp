#ifndef ENDIVEWARD_AGENT_KV_MANIFEST_HPP
#define ENDIVEWARD_AGENT_KV_MANIFEST_HPP

#include "kernel/types/hash128.hpp"
#include "placement/cache_namespace.hpp"

#include <vector>

namespace endiveward::agent
{

/// The blocks of a cached prefix, from its start, and their namespace.
struct kv_manifest
{
    placement::cache_namespace space;
    std::vector<kernel::hash128> blocks;
};

} // namespace endiveward::agent

#endif
