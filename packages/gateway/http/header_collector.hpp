#ifndef ENDIVEWARD_GATEWAY_HTTP_HEADER_COLLECTOR_HPP
#define ENDIVEWARD_GATEWAY_HTTP_HEADER_COLLECTOR_HPP

#include "gateway/http/header_list.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace endiveward::gateway
{

/// Puts header fields together from the pieces that http_parser gives, up to a
/// number of bytes.
class header_collector
{
public:
    explicit header_collector(std::size_t max_bytes);

    void reset();
    /// Counts bytes of the head; false if it is too long. The other functions
    /// count what they are given.
    bool count(std::size_t n);
    bool add_name(std::string_view piece);
    bool add_value(std::string_view piece);
    /// The fields. Those after a chunked body are ignored from now on.
    header_list finish();
    bool finished() const { return finished_; }

private:
    void flush();

    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    header_list fields_;
    std::string name_;
    std::string value_;
    bool in_value_ = false;
    bool finished_ = false;
};

} // namespace endiveward::gateway

#endif
