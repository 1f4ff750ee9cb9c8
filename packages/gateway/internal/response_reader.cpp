#include "gateway/http/response_reader.hpp"

#include "gateway/http/i_response_sink.hpp"
#include "kernel/free_memory.hpp"

#include <utility>

namespace endiveward::gateway
{

namespace
{

constexpr int first_final_status = 200;
/// Return value of http_parser's header callback for "no body follows".
constexpr int skip_body = 1;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

bool may_have_body(int status)
{
    return status != status_no_content && status != status_not_modified;
}

} // namespace

response_reader::response_reader(std::size_t max_header_bytes)
    : fields_(max_header_bytes)
{
    http_parser_settings_init(&settings_);
    settings_.on_header_field = on_field;
    settings_.on_header_value = on_value;
    settings_.on_headers_complete = on_headers;
    settings_.on_body = on_body;
    settings_.on_message_complete = on_complete;
    reset(false);
}

void response_reader::reset(bool head_request)
{
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    head_checker_.reset();
    line_checker_.reset();
    kernel::free_memory(head_);
    fields_.reset();
    head_request_ = head_request;
    informational_ = false;
    started_ = false;
    complete_ = false;
    failed_ = false;
}

std::size_t response_reader::feed(std::string_view bytes, i_response_sink& sink)
{
    std::size_t taken = 0;
    sink_ = &sink;
    while (!complete_ && !failed_ && taken < bytes.size())
    {
        std::size_t n = 0;
        execute(bytes.substr(taken), n);
        taken += n;
    }
    sink_ = nullptr;
    return taken;
}

void response_reader::execute(std::string_view bytes, std::size_t& taken)
{
    started_ = true;
    if (!head_checker_.complete())
    {
        // The parser gets the rest of the head at most, so that nothing is
        // reported before the whole head has been checked.
        bytes = bytes.substr(0, head_checker_.check(bytes));
        if (head_checker_.failed())
        {
            failed_ = true;
            return;
        }
    }
    auto const in_head = !fields_.finished();
    unchecked_ = bytes.data();
    taken =
        http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
    if (informational_)
    {
        // The final response follows on the same connection.
        reset(head_request_);
        started_ = true;
        return;
    }
    auto const lines_valid = in_head || check_lines(bytes.data() + taken);
    auto const head_missing = head_checker_.complete() && !fields_.finished();
    if (!lines_valid || head_missing ||
        (!complete_ &&
         (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || parser_.upgrade != 0)))
        failed_ = true;
    if (failed_)
        complete_ = false;
    if (complete_)
        sink_->on_end();
}

bool response_reader::check_lines(char const* end)
{
    if ((parser_.flags & F_CHUNKED) == 0)
        return true;
    auto const n = static_cast<std::size_t>(end - unchecked_);
    return line_checker_.check({std::exchange(unchecked_, end), n});
}

void response_reader::finish(i_response_sink& sink)
{
    if (complete_ || failed_ || !started_)
        return;
    sink_ = &sink;
    http_parser_execute(&parser_, &settings_, nullptr, 0);
    sink_ = nullptr;
    if (complete_)
        sink.on_end();
    else
        failed_ = true;
}

response_reader& response_reader::self(http_parser* parser)
{
    return *static_cast<response_reader*>(parser->data);
}

int response_reader::on_field(http_parser* parser, char const* at,
                              std::size_t n)
{
    return self(parser).fields_.add_name({at, n}) ? 0 : -1;
}

int response_reader::on_value(http_parser* parser, char const* at,
                              std::size_t n)
{
    return self(parser).fields_.add_value({at, n}) ? 0 : -1;
}

int response_reader::on_headers(http_parser* parser)
{
    auto& reader = self(parser);
    reader.head_.headers = reader.fields_.finish();
    reader.head_.status = static_cast<int>(parser->status_code);
    if (reader.head_.status < first_final_status)
    {
        reader.informational_ = true;
        return skip_body;
    }
    if (!reader.has_known_length())
        return -1;
    reader.head_.keep_alive = http_should_keep_alive(parser) != 0;
    reader.head_.ends_with_connection =
        !reader.head_request_ && may_have_body(reader.head_.status) &&
        (parser->flags & (F_CHUNKED | F_CONTENTLENGTH)) == 0;
    reader.sink_->on_head(reader.head_);
    return reader.head_request_ ? skip_body : 0;
}

/// Whether the end of the body is certain. The parser ignores codings that it
/// does not know, and a length without digits.
bool response_reader::has_known_length() const
{
    auto const& headers = head_.headers;
    auto const chunked = (parser_.flags & F_CHUNKED) != 0;
    auto const has_length = (parser_.flags & F_CONTENTLENGTH) != 0;
    auto const coding = headers.find("Transfer-Encoding");
    if (coding)
        return chunked && !has_length && equal_names(*coding, "chunked") &&
               headers.count("Transfer-Encoding") == 1;
    return has_length || !headers.find("Content-Length");
}

int response_reader::on_body(http_parser* parser, char const* at, std::size_t n)
{
    auto& reader = self(parser);
    if (!reader.check_lines(at))
        return -1;
    reader.unchecked_ = at + n;
    if (parser->content_length == 0)
        reader.line_checker_.on_chunk_end();
    reader.sink_->on_body({at, n});
    return 0;
}

int response_reader::on_complete(http_parser* parser)
{
    auto& reader = self(parser);
    http_parser_pause(parser, 1);
    if (reader.informational_)
        return 0;
    reader.complete_ = true;
    return 0;
}

} // namespace endiveward::gateway
