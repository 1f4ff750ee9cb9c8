#include "gateway/http/request_reader.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace endiveward::gateway
{

namespace
{

message_limits const limits{256, 32};

std::size_t feed_all(request_reader& reader, std::string_view text)
{
    return reader.feed(text);
}

} // namespace

// Guards against requests that are lost or altered when they arrive in
// fragments.
TEST_CASE("a request that arrives byte by byte is read completely")
{
    request_reader reader(limits);
    std::string const text = "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-Id:  7 "
                             "\r\nContent-Length: 4\r\n\r\nbody";
    for (char const it : text)
        REQUIRE(reader.feed({&it, 1}) == 1);
    REQUIRE(reader.state() == read_state::complete);
    auto const request = reader.take();
    CHECK(request.method == "POST");
    CHECK(request.target == "/a/b?c=d");
    CHECK(request.headers.value_or("x-id", "") == "7");
    CHECK(request.body == "body");
    CHECK(request.keep_alive);
}

// Guards against request smuggling: the gateway and the endpoint behind it must
// agree on where a request ends.
TEST_CASE("requests with an ambiguous length are refused")
{
    auto const* const text =
        GENERATE("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                 "Content-Length: 5\r\n\r\nbody",
                 "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                 "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n",
                 "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n");
    request_reader reader(limits);
    feed_all(reader, text);
    CHECK(reader.state() == read_state::failed);
    CHECK(reader.failure_status() == 400);
}

TEST_CASE("requests above the limits are refused with the matching status")
{
    request_reader long_header(limits);
    feed_all(long_header, "GET / HTTP/1.1\r\nX: " + std::string(300, 'x'));
    CHECK(long_header.failure_status() == 431);

    request_reader long_body(limits);
    feed_all(long_body, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 33\r\n"
                        "\r\n");
    CHECK(long_body.failure_status() == 413);

    request_reader chunks(limits);
    feed_all(chunks, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n21\r\n" +
                         std::string(33, 'x') + "\r\n0\r\n\r\n");
    CHECK(chunks.failure_status() == 413);
}

// Guards against trailer fields by which a caller sets fields reserved for the
// gateway.
TEST_CASE("trailer fields of a chunked body are ignored")
{
    request_reader reader(limits);
    feed_all(reader, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                     "chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Evil: 1\r\n\r\n");
    REQUIRE(reader.state() == read_state::complete);
    auto const request = reader.take();
    CHECK(request.body == "body");
    CHECK(request.headers.find("X-Evil") == std::nullopt);
}

TEST_CASE("bytes after a request are left for the next one")
{
    request_reader reader(limits);
    std::string const first = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    std::string const both = first + "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
    auto const n = reader.feed(both);
    CHECK(n == first.size());
    CHECK(reader.take().target == "/1");
    reader.feed(std::string_view(both).substr(n));
    REQUIRE(reader.state() == read_state::complete);
    CHECK(reader.take().target == "/2");
}

// Guards against heads whose lines have little text but many separators, and
// against a limit that a head of legal size exceeds.
TEST_CASE("separators of fields count, at least two bytes for each field")
{
    std::string const end = "\r\n";
    std::string legal = "GET / HTTP/1.1\r\n";
    while (legal.size() + 4 + end.size() <= limits.header_bytes)
        legal += "a:\r\n";
    request_reader reader(limits);
    feed_all(reader, legal + end);
    REQUIRE(reader.state() == read_state::complete);

    std::string const text = "GET / HTTP/1.1\r\n";
    std::string lines;
    for (std::size_t n = 0; n < limits.header_bytes; ++n)
        lines += "a:\r\n";
    request_reader too_many(limits);
    feed_all(too_many, text + lines);
    CHECK(too_many.failure_status() == 431);
}

// Guards against memory that is many times the size of what was sent.
TEST_CASE("a request takes a small multiple of its size")
{
    message_limits const large{16U << 10U, 1U << 20U};
    request_reader reader(large);
    std::string text = "POST / HTTP/1.1\r\n";
    while (text.size() + 4 < large.header_bytes)
        text += "a:\r\n";
    feed_all(reader, text);
    REQUIRE(reader.state() == read_state::partial);
    CHECK(reader.memory() <= 8 * text.size());
    auto const in_chunks = GENERATE(false, true);
    std::string const body(100000, 'x');
    feed_all(reader, in_chunks ? "Transfer-Encoding: chunked\r\n\r\n186A1\r\n"
                               : "Content-Length: 100001\r\n\r\n");
    auto const head = reader.memory();
    feed_all(reader, body);
    REQUIRE(reader.state() == read_state::partial);
    CHECK(reader.memory() - head <= 2 * body.size());
    if (!in_chunks)
        CHECK(reader.memory() - head <= body.size() + 64);
}

// Guards against http_parser's own limit of 80 KiB, above which a head of legal
// size was refused as malformed.
TEST_CASE("a long head is read if the configuration allows it")
{
    message_limits const large{256U << 10U, 0};
    request_reader reader(large);
    feed_all(reader, "GET / HTTP/1.1\r\nX: " + std::string(200U << 10U, 'x') +
                         "\r\n\r\n");
    CHECK(reader.state() == read_state::complete);
}

} // namespace endiveward::gateway
