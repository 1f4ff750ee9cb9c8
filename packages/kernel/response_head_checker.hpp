#ifndef ENDIVEWARD_KERNEL_RESPONSE_HEAD_CHECKER_HPP
#define ENDIVEWARD_KERNEL_RESPONSE_HEAD_CHECKER_HPP

#include <cstddef>
#include <string_view>

namespace endiveward::kernel
{

/// Checks the head of an HTTP/1 response: a status line with a status from 100
/// to 599, then header fields of which each has a name and a value of the bytes
/// that RFC 9110 allows (section 5) on a line of its own. The libraries that
/// parse responses accept more, and differ in what they make of it.
///
/// Lines may end with a line feed only. Folded fields, which RFC 9112 (section
/// 5.2) forbids, are invalid, and so is status 101, since nothing here asks for
/// another protocol.
class response_head_checker
{
public:
    void reset();
    /// Returns the number of bytes up to the end of the head or the first
    /// invalid byte, at most all.
    std::size_t check(std::string_view bytes);

    bool complete() const { return place_ == place::complete; }
    bool failed() const { return place_ == place::invalid; }

private:
    enum class place
    {
        status_line,
        reason,
        line_start,
        name,
        value,
        line_end,
        head_end,
        complete,
        invalid
    };

    place after(char c);
    place after_status_line(char c);
    static place after_text(char c, place same);

    place place_ = place::status_line;
    /// Bytes of the status line before the reason that have been checked.
    std::size_t matched_ = 0;
    unsigned status_ = 0;
};

} // namespace endiveward::kernel

#endif
