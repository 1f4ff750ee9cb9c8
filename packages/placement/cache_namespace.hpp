#ifndef ENDIVEWARD_PLACEMENT_CACHE_NAMESPACE_HPP
#define ENDIVEWARD_PLACEMENT_CACHE_NAMESPACE_HPP

#include "kernel/types/hash128.hpp"
#include "kernel/types/identifiers.hpp"

#include <string>
#include <string_view>

namespace endiveward::placement
{

/// Scope within which cached blocks may be shared: workspace, model, model
/// version and adapter. All block hashes derive from its hash, so blocks of
/// different namespaces never match.
class cache_namespace
{
public:
    cache_namespace(kernel::workspace_id const& workspace,
                    kernel::model_id const& model,
                    kernel::model_version const& version,
                    std::string_view adapter);

    kernel::hash128 const& hash() const { return hash_; }
    /// Value of the engine's `cache_salt` request field.
    std::string salt() const;

    auto operator<=>(cache_namespace const&) const = default;

private:
    kernel::hash128 hash_;
};

} // namespace endiveward::placement

#endif
