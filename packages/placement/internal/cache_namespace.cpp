#include "placement/cache_namespace.hpp"

#include <fmt/format.h>

namespace endiveward::placement
{

namespace
{

// Hash seed that keeps namespace hashes distinct from hashes of prompt bytes.
constexpr std::uint64_t namespace_seed = 0x656e646976657764;

// Prefixes each field with its length, so that ("ab", "c") and ("a", "bc")
// serialize differently.
std::string serialize(std::initializer_list<std::string_view> fields)
{
    std::string buf;
    for (auto const& it : fields)
        buf += fmt::format("{}:{}", it.size(), it);
    return buf;
}

} // namespace

cache_namespace::cache_namespace(kernel::workspace_id const& workspace,
                                 kernel::model_id const& model,
                                 kernel::model_version const& version,
                                 std::string_view adapter)
    : hash_(kernel::hash_bytes(
          serialize({workspace.str(), model.str(), version.str(), adapter}),
          namespace_seed))
{
}

std::string cache_namespace::salt() const
{
    return kernel::to_hex(hash_);
}

} // namespace endiveward::placement
