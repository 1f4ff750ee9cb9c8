#include "gateway/http/i_response_sink.hpp"
#include "gateway/http/response_reader.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace endiveward::gateway
{

namespace
{

struct collector : i_response_sink
{
    void on_head(response_head const& it) override { head = it; }
    void on_body(std::string_view bytes) override { body += bytes; }
    void on_end() override { ended = true; }

    response_head head;
    std::string body;
    bool ended = false;
};

} // namespace

TEST_CASE("an informational response before the final one is skipped")
{
    response_reader reader(1024);
    collector sink;
    reader.feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                "Content-Length: 2\r\n\r\nok",
                sink);
    CHECK(reader.complete());
    CHECK(sink.head.status == 200);
    CHECK(sink.body == "ok");
}

// Guards against a truncated response that is taken for a complete one.
TEST_CASE("a body without length is complete only if its connection is closed")
{
    response_reader reader(1024);
    collector sink;
    reader.feed("HTTP/1.1 200 OK\r\n\r\nsome", sink);
    CHECK(sink.head.ends_with_connection);
    CHECK_FALSE(reader.complete());
    reader.finish(sink);
    CHECK(reader.complete());

    reader.reset(false);
    collector cut;
    reader.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome", cut);
    reader.finish(cut);
    CHECK(reader.failed());
    CHECK_FALSE(cut.ended);
}

// Guards against bytes of one response that are forwarded with another.
TEST_CASE("bytes after a complete response are not consumed")
{
    response_reader reader(1024);
    collector sink;
    std::string const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    CHECK(reader.feed(whole + "HTTP/1.1 500 X\r\n\r\n", sink) == whole.size());
    CHECK(sink.body == "ok");
}

TEST_CASE("bytes that are not a response are reported as a failure")
{
    response_reader reader(1024);
    collector sink;
    reader.feed("garbage\r\n\r\n", sink);
    CHECK(reader.failed());
}

} // namespace endiveward::gateway
