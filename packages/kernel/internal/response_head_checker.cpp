#include "kernel/response_head_checker.hpp"

#include <array>

namespace endiveward::kernel
{

namespace
{

/// A `#` stands for a digit.
constexpr std::string_view status_line_begin = "HTTP/1.# ###";
constexpr std::size_t status_at = status_line_begin.size() - 3;
constexpr unsigned min_status = 100;
constexpr unsigned max_status = 599;
constexpr unsigned status_switching_protocols = 101;

bool is_digit(char c)
{
    return c >= '0' && c <= '9';
}

/// Bytes of a name (RFC 9110, section 5.6.2).
constexpr std::array<bool, 256> token_table()
{
    std::array<bool, 256> res{};
    for (char const c :
         std::string_view("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyz"
                          "ABCDEFGHIJKLMNOPQRSTUVWXYZ"))
        res.at(static_cast<unsigned char>(c)) = true;
    return res;
}

constexpr auto tokens = token_table();

bool is_token(char c)
{
    return tokens.at(static_cast<unsigned char>(c));
}

/// Bytes of a value or a reason (RFC 9110, section 5.5).
bool is_text(char c)
{
    auto const byte = static_cast<unsigned char>(c);
    return (byte >= 0x20 && byte != 0x7f) || c == '\t';
}

} // namespace

void response_head_checker::reset()
{
    *this = {};
}

std::size_t response_head_checker::check(std::string_view bytes)
{
    std::size_t n = 0;
    while (n < bytes.size() && !complete() && !failed())
    {
        place_ = after(bytes[n]);
        if (!failed())
            ++n;
    }
    return n;
}

response_head_checker::place response_head_checker::after(char c)
{
    switch (place_)
    {
    case place::status_line:
        return after_status_line(c);
    case place::line_start:
        if (c == '\r')
            return place::head_end;
        if (c == '\n')
            return place::complete;
        return is_token(c) ? place::name : place::invalid;
    case place::name:
        if (c == ':')
            return place::value;
        return is_token(c) ? place::name : place::invalid;
    case place::reason:
    case place::value:
        return after_text(c, place_);
    case place::line_end:
        return c == '\n' ? place::line_start : place::invalid;
    case place::head_end:
        return c == '\n' ? place::complete : place::invalid;
    case place::complete:
    case place::invalid:
        break;
    }
    return place_;
}

response_head_checker::place response_head_checker::after_status_line(char c)
{
    // Some servers end the body before with an additional line end.
    if (matched_ == 0 && (c == '\r' || c == '\n'))
        return place::status_line;
    if (matched_ == status_line_begin.size())
    {
        auto const valid = status_ >= min_status && status_ <= max_status &&
                           status_ != status_switching_protocols;
        if (!valid)
            return place::invalid;
        return c == ' ' ? place::reason : after_text(c, place::invalid);
    }
    auto const expected = status_line_begin[matched_];
    if (expected == '#' ? !is_digit(c) : c != expected)
        return place::invalid;
    if (matched_ >= status_at)
        status_ = status_ * 10 + static_cast<unsigned>(c - '0');
    ++matched_;
    return place::status_line;
}

response_head_checker::place response_head_checker::after_text(char c,
                                                               place same)
{
    if (c == '\r')
        return place::line_end;
    if (c == '\n')
        return place::line_start;
    return is_text(c) ? same : place::invalid;
}

} // namespace endiveward::kernel
