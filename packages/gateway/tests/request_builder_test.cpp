#include "gateway/request_builder.hpp"
#include "gateway/tests/support/test_names.hpp"

#include <catch2/catch.hpp>

namespace endiveward::gateway
{

namespace
{

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

// Guards against a caller that sets fields reserved for the gateway, or that
// has the gateway remove the request id.
TEST_CASE("fields of the gateway cannot be forged or removed by a caller")
{
    http_request request;
    request.method = "POST";
    request.target = "/p?q=1";
    request.headers.add("Host", "h");
    request.headers.add("X-Id", "id7");
    request.headers.add("X-Model", "m");
    request.headers.add("Connection", "close, X-Id, X-Model, X-Drop");
    request.headers.add("X-Drop", "dropped");
    request.headers.add("X-Workspace", "forged");
    request.headers.add("X-Salt", "forged");
    request.headers.add("X-Key", "secret");
    request.headers.add("X-Other", "kept");
    request.body = "body";
    forward_fields fields;
    fields.endpoint = kernel::endpoint_id("e1");
    fields.workspace = kernel::workspace_id("w1");
    fields.time_left = std::chrono::milliseconds(1234);
    fields.cache_salt = "salt";
    fields.version = 5;
    auto const text = build_request_head(request, fields, test_names());
    CHECK(text.starts_with("POST /p?q=1 HTTP/1.1\r\n"));
    CHECK(contains(text, "X-Id: id7\r\n"));
    CHECK(contains(text, "X-Model: m\r\n"));
    CHECK(contains(text, "X-Other: kept\r\n"));
    CHECK(contains(text, "X-Workspace: w1\r\n"));
    CHECK(contains(text, "X-Salt: salt\r\n"));
    CHECK(contains(text, "X-Version-Wanted: 5\r\n"));
    CHECK(contains(text, "X-Endpoint-Wanted: e1\r\n"));
    CHECK(contains(text, "X-Time: 1234\r\n"));
    CHECK(contains(text, "Content-Length: 4\r\n"));
    CHECK(text.ends_with("\r\n\r\n"));
    CHECK_FALSE(contains(text, "forged"));
    CHECK_FALSE(contains(text, "secret"));
    CHECK_FALSE(contains(text, "dropped"));
}

// Guards against the resumption of streams that must not be resumed.
TEST_CASE("a caller's last event id is forwarded only for resumable streams")
{
    http_request request;
    request.method = "GET";
    request.target = "/";
    request.headers.add("X-Last-Event", "3");
    forward_fields fields;
    CHECK_FALSE(contains(build_request_head(request, fields, test_names()),
                         "X-Last-Event"));
    fields.forwards_last_event_id = true;
    CHECK(contains(build_request_head(request, fields, test_names()),
                   "X-Last-Event: 3\r\n"));
    fields.resume_after = 8;
    auto const resumed = build_request_head(request, fields, test_names());
    CHECK(contains(resumed, "X-Last-Event: 8\r\n"));
    CHECK_FALSE(contains(resumed, "X-Last-Event: 3\r\n"));
}

} // namespace endiveward::gateway
