#include "kernel/types/hash128.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <array>

namespace endiveward::kernel
{

namespace
{

hash128 from_xxh(XXH128_hash_t hash)
{
    return hash128{hash.high64, hash.low64};
}

} // namespace

hash128 hash_bytes(std::string_view bytes, std::uint64_t seed)
{
    return from_xxh(XXH3_128bits_withSeed(bytes.data(), bytes.size(), seed));
}

hash128 hash_chained(hash128 const& parent, std::string_view bytes)
{
    // Hashing the parent together with the digest of the bytes keeps the
    // large input contiguous, so that it is read once at memory speed.
    hash128 const own = hash_bytes(bytes, parent.low);
    std::array<std::uint64_t, 4> const words{parent.high, parent.low, own.high,
                                             own.low};
    return from_xxh(XXH3_128bits(words.data(), sizeof(words)));
}

std::uint64_t mix64(std::uint64_t lhs, std::uint64_t rhs)
{
    return XXH3_64bits_withSeed(&lhs, sizeof(lhs), rhs);
}

std::string to_hex(hash128 const& hash)
{
    return fmt::format("{:016x}{:016x}", hash.high, hash.low);
}

} // namespace endiveward::kernel
