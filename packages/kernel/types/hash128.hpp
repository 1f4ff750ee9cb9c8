#ifndef ENDIVEWARD_KERNEL_TYPES_HASH128_HPP
#define ENDIVEWARD_KERNEL_TYPES_HASH128_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace endiveward::kernel
{

/// A 128-bit XXH3 hash.
struct hash128
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(hash128 const&) const = default;
};

/// Hashes bytes; `seed` separates hash domains.
hash128 hash_bytes(std::string_view bytes, std::uint64_t seed = 0);

/// Hashes bytes as the continuation of `parent`.
hash128 hash_chained(hash128 const& parent, std::string_view bytes);

/// Mixes two 64-bit values; used for rendezvous weights.
std::uint64_t mix64(std::uint64_t lhs, std::uint64_t rhs);

/// 32 lower-case hexadecimal digits.
std::string to_hex(hash128 const& hash);

} // namespace endiveward::kernel

template <>
struct std::hash<endiveward::kernel::hash128>
{
    std::size_t
    operator()(endiveward::kernel::hash128 const& hash) const noexcept
    {
        return static_cast<std::size_t>(hash.low ^ hash.high);
    }
};

#endif
