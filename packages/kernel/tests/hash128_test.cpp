#include "kernel/types/hash128.hpp"

#include <catch2/catch.hpp>

namespace endiveward::kernel
{

// Guards against block hashes that collide across different parents.
TEST_CASE("a chained hash depends on the parent and on the bytes")
{
    hash128 const left = hash_bytes("left");
    hash128 const right = hash_bytes("right");
    CHECK(hash_chained(left, "block") == hash_chained(left, "block"));
    CHECK(hash_chained(left, "block") != hash_chained(right, "block"));
    CHECK(hash_chained(left, "block") != hash_chained(left, "other"));
    CHECK(to_hex(hash128{1, 2}) == "00000000000000010000000000000002");
}

} // namespace endiveward::kernel
