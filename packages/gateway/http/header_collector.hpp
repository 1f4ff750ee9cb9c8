#ifndef ENDIVEWARD_GATEWAY_HTTP_HEADER_COLLECTOR_HPP
#define ENDIVEWARD_GATEWAY_HTTP_HEADER_COLLECTOR_HPP

#include "gateway/http/header_list.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace endiveward::gateway
{

/// Assembles header fields from the fragments that http_parser reports, up to a
/// limit on their total size. A field counts at least a separator and a line
/// end, also if it has no value; no head of legal size exceeds the limit.
class header_collector
{
public:
    explicit header_collector(std::size_t max_bytes);

    void reset();
    void set_max_bytes(std::size_t max_bytes) { max_bytes_ = max_bytes; }
    /// Adds to the size of the head and returns false if it exceeds the limit.
    /// The other functions count their own arguments.
    bool count(std::size_t n);
    bool add_name(std::string_view piece);
    bool add_value(std::string_view piece);
    /// Returns the fields. Later ones, the trailer of a chunked body, are
    /// ignored, but count.
    header_list finish();
    bool finished() const { return finished_; }
    /// Bytes that are allocated for unfinished fields.
    std::size_t memory() const;

private:
    void flush();
    void release();

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
