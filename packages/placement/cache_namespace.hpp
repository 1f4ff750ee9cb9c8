#ifndef ENDIVEWARD_PLACEMENT_CACHE_NAMESPACE_HPP
#define ENDIVEWARD_PLACEMENT_CACHE_NAMESPACE_HPP

#include "kernel/types/hash128.hpp"
#include "kernel/types/identifiers.hpp"

#include <string>
#include <string_view>

namespace endiveward::placement
{

/// The identity under which cached blocks may be shared. Everything that must
/// not share blocks is part of it, and all block hashes derive from it.
class cache_namespace
{
public:
    cache_namespace(kernel::workspace_id const& workspace,
                    kernel::model_id const& model,
                    kernel::model_version const& version,
                    std::string_view adapter);

    kernel::hash128 const& hash() const { return hash_; }
    /// The value for the engine's `cache_salt`.
    std::string salt() const;

    auto operator<=>(cache_namespace const&) const = default;

private:
    kernel::hash128 hash_;
};

} // namespace endiveward::placement

#endif
