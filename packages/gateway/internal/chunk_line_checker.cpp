#include "gateway/http/chunk_line_checker.hpp"

namespace endiveward::gateway
{

namespace
{

bool is_text(char c)
{
    auto const byte = static_cast<unsigned char>(c);
    return (byte >= 0x20 && byte != 0x7f) || c == '\t';
}

} // namespace

bool chunk_line_checker::check(std::string_view bytes)
{
    for (char const c : bytes)
    {
        if (c == '\r' && expected_ != expected::line_feed)
            expected_ = expected::line_feed;
        else if (c == '\n' && expected_ == expected::line_feed)
            expected_ = expected::text;
        else if (expected_ != expected::text || !is_text(c))
            return false;
    }
    return true;
}

} // namespace endiveward::gateway
