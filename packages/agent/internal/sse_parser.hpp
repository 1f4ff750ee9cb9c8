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

/// Cuts a byte stream into server-sent events.
class sse_parser
{
public:
    static constexpr std::size_t max_event_bytes = 1U << 20U;
    /// Gives false to stop parsing.
    using sink = std::function<bool(sse_event const&)>;

    /// Gives false if an event is too large or the sink stopped.
    bool feed(std::string_view bytes, sink const& on_event);
    /// Forgets a partial event, for a new connection.
    void reset();

private:
    bool take_line(sink const& on_event);
    void take_field(std::string_view name, std::string_view value);

    std::string line_;
    sse_event event_;
    bool has_data_ = false;
};

} // namespace endiveward::agent

#endif
