#ifndef ENDIVEWARD_GATEWAY_HTTP_CHUNK_LINE_CHECKER_HPP
#define ENDIVEWARD_GATEWAY_HTTP_CHUNK_LINE_CHECKER_HPP

#include <string_view>

namespace endiveward::gateway
{

/// Checks what stands between the chunks of a body: whole lines without control
/// bytes, and a line end behind each chunk. http_parser takes any two bytes for
/// a line end.
class chunk_line_checker
{
public:
    void reset() { *this = {}; }
    /// Bytes that are not data of a chunk, in order. Returns false if they are
    /// invalid.
    bool check(std::string_view bytes);
    /// The data of a chunk has ended.
    void on_chunk_end() { expected_ = expected::carriage_return; }

private:
    enum class expected
    {
        text,
        carriage_return,
        line_feed
    };

    expected expected_ = expected::text;
};

} // namespace endiveward::gateway

#endif
