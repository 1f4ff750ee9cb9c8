#include "gateway/http/i_response_sink.hpp"
#include "gateway/http/response_reader.hpp"
#include "gateway/tests/support/scripted_endpoint.hpp"
#include "gateway/tests/support/test_caller.hpp"
#include "gateway/tests/support/test_gateway.hpp"

#include <catch2/catch.hpp>

#include <cctype>
#include <string>
#include <vector>

namespace endiveward::gateway
{

namespace
{

struct collector : i_response_sink
{
    void on_head(response_head const& it) override
    {
        ++heads;
        head = it;
    }
    void on_body(std::string_view bytes) override { body += bytes; }
    void on_end() override { ended = true; }

    response_head head;
    std::string body;
    int heads = 0;
    bool ended = false;
};

enum class outcome
{
    complete,
    /// Not a response; nothing of it was passed on.
    rejected,
    /// Became invalid behind its head.
    broken,
    incomplete
};

/// Reads the response in pieces of this size, up to the end of the connection.
outcome read(std::string const& text, std::size_t piece, collector& sink)
{
    response_reader reader(64U << 10U);
    for (std::size_t at = 0; at < text.size() && !reader.complete();)
    {
        auto const bytes = std::string_view(text).substr(at, piece);
        at += reader.feed(bytes, sink);
        if (reader.failed())
            return sink.heads == 0 ? outcome::rejected : outcome::broken;
    }
    reader.finish(sink);
    if (!reader.complete())
        return outcome::incomplete;
    CHECK(sink.ended);
    return outcome::complete;
}

std::string with_fields(std::string const& fields)
{
    return "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 2\r\n\r\nok";
}

std::string with_status_line(std::string const& line)
{
    return line + "Content-Length: 2\r\n\r\nok";
}

std::string chunked(std::string const& body)
{
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
}

bool is_token(char c)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    auto const byte = static_cast<unsigned char>(c);
    return byte < 0x80 &&
           (std::isalnum(byte) != 0 || others.find(c) != std::string::npos);
}

bool is_text(char c)
{
    auto const byte = static_cast<unsigned char>(c);
    return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

void check(std::string const& text, outcome expected)
{
    for (std::size_t const piece :
         {std::size_t(1), std::size_t(3), text.size()})
    {
        CAPTURE(text, piece);
        collector sink;
        CHECK(read(text, piece, sink) == expected);
        CHECK(sink.ended == (expected == outcome::complete));
    }
}

} // namespace

// Guards against an answer whose status is no status, and against the bytes
// behind it that are taken for the answer.
TEST_CASE("only statuses from 100 to 599 make a response")
{
    auto const status = GENERATE(
        as<std::string>(), "000", "001", "099", "101", "600", "999", "0", "2",
        "20", "2000", "0200", "1000", "20x", "x00", "-20", "+20", " 200", "");
    auto const next =
        GENERATE(as<std::string>(), "",
                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    check("HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n" + next,
          outcome::rejected);
}

TEST_CASE("a response has any status that HTTP names")
{
    auto const status = GENERATE("200", "299", "300", "404", "500", "599");
    check(with_status_line("HTTP/1.1 " + std::string(status) + " X\r\n"),
          outcome::complete);
}

TEST_CASE("a status line has the form that HTTP names")
{
    auto const [line, expected] = GENERATE(table<std::string, outcome>(
        {{"HTTP/1.0 200 OK\r\n", outcome::complete},
         {"HTTP/1.1 200 \r\n", outcome::complete},
         {"HTTP/1.1 200\r\n", outcome::complete},
         {"HTTP/1.1 200 A b\tc \xff\r\n", outcome::complete},
         {"HTTP/1.1 200 OK\n", outcome::complete},
         {"\r\nHTTP/1.1 200 OK\r\n", outcome::complete},
         {"HTTP/2.0 200 OK\r\n", outcome::rejected},
         {"HTTP/0.9 200 OK\r\n", outcome::rejected},
         {"HTTP/11 200 OK\r\n", outcome::rejected},
         {"http/1.1 200 OK\r\n", outcome::rejected},
         {"ICY 200 OK\r\n", outcome::rejected},
         {"HTTP/1.1  200 OK\r\n", outcome::rejected},
         {"HTTP/1.1\t200 OK\r\n", outcome::rejected},
         {"HTTP/1.1 200\tOK\r\n", outcome::rejected},
         {"HTTP/1.1 200 OK\rX", outcome::rejected},
         {"HTTP/1.1 200 OK\r\r\n", outcome::rejected},
         {" HTTP/1.1 200 OK\r\n", outcome::rejected}}));
    check(with_status_line(line), expected);
}

// Guards against lines that were passed on although they are no header fields.
TEST_CASE("names and values of fields hold the bytes that HTTP allows")
{
    for (int i = 0; i < 0x100; ++i)
    {
        auto const c = static_cast<char>(i);
        std::string const byte(1, c);
        // These two end the name or the head.
        if (c != ':' && c != '\n')
        {
            for (auto const& name :
                 {byte + "ame", "na" + byte + "me", "nam" + byte})
                check(with_fields(name + ": v\r\n"),
                      is_token(c) ? outcome::complete : outcome::rejected);
        }
        if (c == '\n')
            continue;
        for (auto const& value :
             {byte + "alue", "va" + byte + "lue", "valu" + byte})
            check(with_fields("name:" + value + "\r\n"),
                  is_text(c) ? outcome::complete : outcome::rejected);
        check(with_status_line("HTTP/1.1 200 O" + byte + "K\r\n"),
              is_text(c) ? outcome::complete : outcome::rejected);
    }
}

TEST_CASE("a head consists of whole lines with a name and a value")
{
    auto const [fields, expected] = GENERATE(
        table<std::string, outcome>({{"a: b\r\n", outcome::complete},
                                     {"a:\r\n", outcome::complete},
                                     {"a: b\n", outcome::complete},
                                     {": b\r\n", outcome::rejected},
                                     {"a\r\n", outcome::rejected},
                                     {"a : b\r\n", outcome::rejected},
                                     {" a: b\r\n", outcome::rejected},
                                     {"a: b\r\n c\r\n", outcome::rejected},
                                     {"a: b\r\n\tc\r\n", outcome::rejected},
                                     {"a: b\rc: d\r\n", outcome::rejected},
                                     {"a: b\r\r\n", outcome::rejected},
                                     {"a: b\r\n\rX", outcome::rejected}}));
    check(with_fields(fields), expected);
}

// Guards against a body whose end the endpoint has named in two ways, or in a
// way that is not understood.
TEST_CASE("the length of a body is named in one way")
{
    auto const [fields, expected] = GENERATE(table<std::string, outcome>(
        {{"Content-Length: 2\r\n", outcome::complete},
         {"Transfer-Encoding: Chunked\r\n", outcome::complete},
         {"Content-Length:\r\n", outcome::rejected},
         {"Content-Length: \r\n", outcome::rejected},
         {"Content-Length: +2\r\n", outcome::rejected},
         {"Content-Length: -2\r\n", outcome::rejected},
         {"Content-Length: 0x2\r\n", outcome::rejected},
         {"Content-Length: 2 2\r\n", outcome::rejected},
         {"Content-Length: 2, 2\r\n", outcome::rejected},
         {"Content-Length: 99999999999999999999\r\n", outcome::rejected},
         {"Content-Length: 2\r\nContent-Length: 3\r\n", outcome::rejected},
         {"Content-Length : 2\r\n", outcome::rejected},
         {"Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
          outcome::rejected},
         {"Transfer-Encoding: chunked\r\nContent-Length: 2\r\n",
          outcome::rejected},
         {"Transfer-Encoding:\r\n", outcome::rejected},
         {"Transfer-Encoding: gzip\r\n", outcome::rejected},
         {"Transfer-Encoding: gzip, chunked\r\n", outcome::rejected},
         {"Transfer-Encoding: chunked, gzip\r\n", outcome::rejected},
         {"Transfer-Encoding: chunked, chunked\r\n", outcome::rejected},
         {"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
          outcome::rejected},
         {"Transfer-Encoding: chunke\r\n", outcome::rejected},
         {"Transfer-Encoding: xchunked\r\n", outcome::rejected},
         {"Transfer-Encoding : chunked\r\n", outcome::rejected}}));
    auto const body = expected == outcome::complete && fields.starts_with("T")
                          ? std::string("2\r\nok\r\n0\r\n\r\n")
                          : std::string("ok");
    check("HTTP/1.1 200 OK\r\n" + fields + "\r\n" + body, expected);
}

// Guards against bytes between chunks that are left out of the body, or become
// a part of it.
TEST_CASE("chunks are separated by line ends only")
{
    auto const [body, expected] = GENERATE(table<std::string, outcome>(
        {{"2\r\nok\r\n0\r\n\r\n", outcome::complete},
         {"2;a=b\r\nok\r\n0\r\n\r\n", outcome::complete},
         {"002\r\nok\r\n0\r\na: b\r\n\r\n", outcome::complete},
         {"1\r\no\r\n1\r\nk\r\n0\r\n\r\n", outcome::complete},
         {"2\r\nokxy0\r\n\r\n", outcome::broken},
         {"2\r\nok\rx0\r\n\r\n", outcome::broken},
         {"2\r\nokx\n0\r\n\r\n", outcome::broken},
         {"2\r\nok\n\n0\r\n\r\n", outcome::broken},
         {"2\r\nok!0\r\n\r\n", outcome::broken},
         {"2\rxok\r\n0\r\n\r\n", outcome::broken},
         {"2;\nok\r\n0\r\n\r\n", outcome::broken},
         {"2;a\x01\r\nok\r\n0\r\n\r\n", outcome::broken},
         {"2\r\nok\r\n0\rx\r\n", outcome::broken},
         {"2\r\nok\r\n0\r\n\rx", outcome::broken},
         {"2\r\nok\r\n0\r\na: b\rx\r\n", outcome::broken},
         {"2\r\nok\r\n0\r\na: \x01\r\n\r\n", outcome::broken},
         {"-2\r\nok\r\n0\r\n\r\n", outcome::broken},
         {"0x2\r\nok\r\n0\r\n\r\n", outcome::broken},
         {"\r\n2\r\nok\r\n0\r\n\r\n", outcome::broken},
         {"ffffffffffffffff1\r\nok", outcome::broken},
         {"2\r\nok\r\n0\r\n", outcome::incomplete},
         {"2\r\nok\r\n", outcome::incomplete},
         {"2\r\nok", outcome::incomplete}}));
    check(chunked(body), expected);
}

// Guards against a caller that gets what is no answer of an endpoint.
TEST_CASE("what is no response is not forwarded")
{
    auto const bytes = GENERATE(
        as<std::string>(),
        "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nX Field: secret\r\n",
        "HTTP/1.1 200 OK\r\nX\x01"
        "Field: secret\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n",
        "HTTP/1.1 200 OK\r\nX-Field: a\x01\r\n", "HTTP/1.1 700 X\r\n",
        "HTTP/1.1 503 X\r\nX-Not-Run : 1\r\n",
        "HTTP/1.1 503 X\r\nX Field: secret\r\nX-Not-Run: 1\r\n");
    auto const* const path =
        GENERATE("/once/", "/safe/", "/stream/", "/resume/");
    scripted_endpoint endpoint(
        [&](http_request const& request, scripted_connection& conn)
        {
            conn.send(bytes + "X-Id: " +
                      std::string(request.headers.value_or("X-Id", "")) +
                      "\r\nX-Signature: s\r\nContent-Length: "
                      "18\r\n\r\nid: 1\ndata: secret\n\n");
            return true;
        });
    test_gateway gate;
    gate.apply();
    gate.set_endpoints({endpoint.port()});
    test_caller caller(gate.port());
    caller.send(get_request(path, "id1", "Connection: close\r\n"));
    auto const text = caller.read_all();
    CAPTURE(bytes, path, text);
    CHECK(text.starts_with("HTTP/1.1 502"));
    CHECK(text.find("secret") == std::string::npos);
}

} // namespace endiveward::gateway
