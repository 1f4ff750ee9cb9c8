#ifndef ENDIVEWARD_AGENT_KV_COPIER_HPP
#define ENDIVEWARD_AGENT_KV_COPIER_HPP

#include "agent/i_kv_endpoint.hpp"
#include "agent/types/kv_manifest.hpp"
#include "kernel/i_clock.hpp"

#include <chrono>
#include <cstddef>
#include <memory>

namespace endiveward::agent
{

/// Copies the blocks of a prefix from one engine to another.
class kv_copier
{
    std::shared_ptr<kernel::i_clock const> clock_;

public:
    using handler = i_kv_endpoint::handler<std::size_t>;

    /// No block is requested or imported in the last `reserve` before a
    /// deadline.
    kv_copier(std::shared_ptr<kernel::i_clock const> clock,
              std::chrono::milliseconds reserve);

    /// Gives the number of blocks that were imported, counted from the start
    /// of the prefix. It is less than all if the time is over or a block
    /// cannot be copied. Gives `invalid_request` if the manifest is of another
    /// namespace than the request that the copy serves.
    void copy(kv_manifest manifest, placement::cache_namespace const& request,
              kernel::steady_time deadline,
              std::shared_ptr<i_kv_endpoint> source,
              std::shared_ptr<i_kv_endpoint> target, handler on_done) const;

private:
    std::chrono::milliseconds const reserve_;
};

} // namespace endiveward::agent

#endif
