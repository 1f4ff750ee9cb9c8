#ifndef ENDIVEWARD_AGENT_SSE_PARSER_HPP
#define ENDIVEWARD_AGENT_SSE_PARSER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace endiveward::agent
{

/// An event of a server-sent event stream.
struct sse_event
{
    std::optional<std::uint64_t> id;
    std::string data;
};

/// Incremental parser for server-sent events.
class sse_parser
{
public:
    static constexpr std::size_t max_event_bytes = 1U << 20U;
    /// Returns false to stop parsing.
    using event_handler = std::function<bool(sse_event const&)>;

    /// Returns false if an event is too large or the handler stopped parsing.
    bool feed(std::string_view bytes, event_handler const& on_event);
    /// Discards a partially received event, before data of a new connection.
    void reset();

private:
    bool process_line(event_handler const& on_event);
    void process_field(std::string_view name, std::string_view value);

    std::string line_;
    sse_event event_;
    bool has_data_ = false;
};

} // namespace endiveward::agent

#endif
