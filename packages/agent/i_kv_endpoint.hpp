#ifndef ENDIVEWARD_AGENT_I_KV_ENDPOINT_HPP
#define ENDIVEWARD_AGENT_I_KV_ENDPOINT_HPP

#include "kernel/types/hash128.hpp"
#include "kernel/types/result.hpp"

#include <functional>
#include <string>

namespace endiveward::placement
{
class cache_namespace;
}

namespace endiveward::agent
{

/// An engine that exports and imports the KV cache of single blocks. Used on
/// one thread, on which the handlers run, never before the method returns.
class i_kv_endpoint
{
public:
    template <typename T>
    using handler = std::function<void(kernel::result<T>)>;

    virtual ~i_kv_endpoint() = default;

    virtual void export_block(placement::cache_namespace const& space,
                              kernel::hash128 const& block,
                              handler<std::string> on_done) = 0;
    virtual void import_block(placement::cache_namespace const& space,
                              kernel::hash128 const& block, std::string bytes,
                              handler<kernel::done> on_done) = 0;
};

} // namespace endiveward::agent

#endif
