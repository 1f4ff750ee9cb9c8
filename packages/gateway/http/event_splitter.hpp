#ifndef ENDIVEWARD_GATEWAY_HTTP_EVENT_SPLITTER_HPP
#define ENDIVEWARD_GATEWAY_HTTP_EVENT_SPLITTER_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiveward::gateway
{

/// One event of an event stream, with its terminating blank line.
struct stream_event
{
    std::string_view text;
    std::optional<std::uint64_t> id;
};

/// Cuts an event stream into complete events.
class event_splitter
{
public:
    void feed(std::string_view bytes);
    /// The next complete event, valid until the next call; none if more bytes
    /// are needed.
    std::optional<stream_event> next();
    /// Bytes of an event that is not complete.
    std::size_t pending() const { return buffer_.size() - start_; }
    void clear();

private:
    std::string buffer_;
    std::size_t start_ = 0;
    /// Where the search for the end of the event goes on.
    std::size_t scanned_ = 0;
};

} // namespace endiveward::gateway

#endif
