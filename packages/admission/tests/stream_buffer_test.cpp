#include "admission/stream_buffer.hpp"

#include <catch2/catch.hpp>

namespace endiveward::admission
{

// Guards against losing or renumbering chunks when a stream is resumed.
TEST_CASE("chunks are kept under their numbers until acknowledged")
{
    stream_buffer buffer(100);
    CHECK(buffer.append("a") == 0);
    CHECK(buffer.append("bc") == 1);
    CHECK(buffer.append("d") == 2);
    buffer.acknowledge(1);
    CHECK(buffer.find(0) == nullptr);
    REQUIRE(buffer.find(1) != nullptr);
    CHECK(*buffer.find(1) == "bc");
    CHECK(buffer.find(3) == nullptr);
    CHECK(buffer.bytes() == 3);
    buffer.acknowledge(1);
    CHECK(buffer.first() == 1);
    CHECK(buffer.append("e") == 3);
}

// Guards against unbounded memory use when the receiver does not read.
TEST_CASE("a buffer at its limit is full until chunks are acknowledged")
{
    stream_buffer buffer(4);
    buffer.append("abcd");
    CHECK(buffer.full());
    buffer.acknowledge(1);
    CHECK_FALSE(buffer.full());
}

// Guards against errors from an acknowledgement of chunks that were never sent.
TEST_CASE("an acknowledgement beyond the end releases only what exists")
{
    stream_buffer buffer(100);
    buffer.append("a");
    buffer.acknowledge(10);
    CHECK(buffer.first() == 1);
    CHECK(buffer.append("b") == 1);
}

} // namespace endiveward::admission
