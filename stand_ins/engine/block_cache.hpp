#ifndef ENDIVEWARD_STAND_INS_BLOCK_CACHE_HPP
#define ENDIVEWARD_STAND_INS_BLOCK_CACHE_HPP

#include "kernel/types/hash128.hpp"

#include <cstddef>
#include <list>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiveward::stand_ins
{

/// Hashes of the whole 1,024-byte blocks of a prompt, chained from the salt.
std::vector<kernel::hash128> block_hashes(kernel::hash128 const& salt,
                                          std::string_view prompt);

/// The engine's prefix cache: a limited number of blocks, the least recently
/// used one is evicted first.
class block_cache
{
public:
    struct changes
    {
        std::vector<kernel::hash128> stored;
        std::vector<kernel::hash128> evicted;
    };

    explicit block_cache(std::size_t capacity);

    /// Number of leading blocks that are cached; marks them as used.
    std::size_t use(std::span<kernel::hash128 const> blocks);
    changes store(std::span<kernel::hash128 const> blocks);
    bool contains(kernel::hash128 const& block) const;
    std::vector<kernel::hash128> blocks() const;

private:
    using order = std::list<kernel::hash128>;

    std::size_t capacity_;
    /// Most recently used first.
    order recent_;
    std::unordered_map<kernel::hash128, order::iterator> places_;
};

} // namespace endiveward::stand_ins

#endif
