#ifndef ENDIVEWARD_GATEWAY_HTTP_EVENT_SPLITTER_HPP
#define ENDIVEWARD_GATEWAY_HTTP_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiveward::gateway
{

/// One server-sent event, including its terminating blank line.
struct stream_event
{
    std::string_view text;
    std::optional<std::uint64_t> id;
};

/// Splits a stream of server-sent events into complete events.
class event_splitter
{
public:
    void feed(std::string_view bytes);
    /// Returns the next complete event, which is valid until the next call, or
    /// none if more bytes are needed.
    std::optional<stream_event> next();
    /// Number of buffered bytes of an incomplete event.
    std::size_t pending() const { return buffer_.size() - start_; }
    /// Bytes that are allocated.
    std::size_t memory() const { return buffer_.capacity(); }
    void clear();

private:
    std::string buffer_;
    std::size_t start_ = 0;
    /// Position at which the search for the end of the event resumes.
    std::size_t scanned_ = 0;
};

} // namespace endiveward::gateway

#endif
