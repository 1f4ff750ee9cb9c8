#include "placement/prefix_levels.hpp"

#include "placement/cache_namespace.hpp"

#include <algorithm>
#include <array>
#include <cstring>

namespace endiveward::placement
{

namespace
{

/// Computes the chained hash of consecutive whole blocks. Only blocks that span
/// several parts are copied.
class block_chain
{
public:
    explicit block_chain(kernel::hash128 const& root)
        : hash_(root)
    {
    }

    void append(std::string_view bytes)
    {
        if (pending_ > 0)
            bytes.remove_prefix(fill_partial_block(bytes));
        while (bytes.size() >= block_bytes)
        {
            add_block(bytes.substr(0, block_bytes));
            bytes.remove_prefix(block_bytes);
        }
        if (!bytes.empty())
            fill_partial_block(bytes);
    }

    wire::prefix_level level() const { return {hash_, chained_bytes_}; }

private:
    std::size_t fill_partial_block(std::string_view bytes)
    {
        std::size_t const n = std::min(bytes.size(), block_bytes - pending_);
        std::memcpy(buf_.data() + pending_, bytes.data(), n);
        pending_ += n;
        if (pending_ < block_bytes)
            return n;
        add_block({buf_.data(), block_bytes});
        pending_ = 0;
        return n;
    }

    void add_block(std::string_view block)
    {
        hash_ = kernel::hash_chained(hash_, block);
        chained_bytes_ += block_bytes;
    }

    kernel::hash128 hash_;
    std::uint64_t chained_bytes_ = 0;
    std::size_t pending_ = 0;
    std::array<char, block_bytes> buf_;
};

// The outer levels are shared with other prompts and the deepest with later
// turns of the same conversation, so the levels in the middle are dropped.
void drop_middle_levels(std::vector<wire::prefix_level>& levels)
{
    if (levels.size() <= max_prefix_levels)
        return;
    auto const first = levels.begin() + max_prefix_levels / 2;
    levels.erase(first, levels.end() - max_prefix_levels / 2);
}

} // namespace

std::vector<wire::prefix_level>
make_prefix_levels(cache_namespace const& ns,
                   std::span<std::string_view const> parts)
{
    block_chain chain(ns.hash());
    std::vector<wire::prefix_level> levels;
    levels.reserve(std::min(parts.size(), max_prefix_levels + 1));
    std::uint64_t last_bytes = 0;
    for (auto const& it : parts)
    {
        chain.append(it);
        auto const level = chain.level();
        if (level.bytes == last_bytes)
            continue;
        last_bytes = level.bytes;
        levels.push_back(level);
    }
    drop_middle_levels(levels);
    return levels;
}

} // namespace endiveward::placement
