#include "gateway/prefix_memory.hpp"

#include <xxhash.h>

namespace endiveward::gateway
{

std::vector<prefix_level> prefix_levels(prompt_info const& prompt,
                                        std::string_view salt)
{
    std::vector<prefix_level> res;
    res.reserve(prompt.parts.size());
    auto hash = XXH3_64bits(salt.data(), salt.size());
    std::uint32_t tokens = 0;
    for (auto const& it : prompt.parts)
    {
        hash = XXH3_64bits_withSeed(it.id.data(), it.id.size(), hash);
        tokens += it.tokens;
        res.push_back({hash, tokens});
    }
    return res;
}

prefix_memory::prefix_memory(std::uint64_t capacity_tokens)
    : capacity_(capacity_tokens)
{
}

std::uint32_t prefix_memory::held(std::vector<prefix_level> const& levels) const
{
    std::uint32_t res = 0;
    for (auto const& it : levels)
    {
        if (!by_hash_.contains(it.hash))
            break;
        res = it.tokens;
    }
    return res;
}

void prefix_memory::add(std::vector<prefix_level> const& levels)
{
    std::uint32_t before = 0;
    // The deepest level becomes the least recent of the chain: a part is of no
    // use without those before it.
    for (auto const& it : levels)
    {
        touch(it.hash, it.tokens - before);
        before = it.tokens;
    }
    for (auto it = levels.rbegin(); it != levels.rend(); ++it)
        items_.splice(items_.begin(), items_, by_hash_.at(it->hash));
    while (used_ > capacity_ && items_.size() > levels.size())
    {
        used_ -= items_.back().tokens;
        by_hash_.erase(items_.back().hash);
        items_.pop_back();
    }
}

void prefix_memory::touch(std::uint64_t hash, std::uint32_t tokens)
{
    if (by_hash_.contains(hash))
        return;
    items_.push_front({hash, tokens});
    by_hash_.emplace(hash, items_.begin());
    used_ += tokens;
}

void prefix_memory::clear()
{
    items_.clear();
    by_hash_.clear();
    used_ = 0;
}

} // namespace endiveward::gateway
