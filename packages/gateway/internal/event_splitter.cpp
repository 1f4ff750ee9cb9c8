#include "gateway/http/event_splitter.hpp"

#include "kernel/free_memory.hpp"

#include <charconv>

namespace endiveward::gateway
{

namespace
{

constexpr std::size_t compact_above_bytes = 4096;
constexpr std::size_t kept_bytes = 16U << 10U;

std::optional<std::uint64_t> id_of(std::string_view event)
{
    std::optional<std::uint64_t> res;
    while (!event.empty())
    {
        auto const end = event.find('\n');
        auto const line = event.substr(0, end);
        if (line.starts_with("id:"))
        {
            auto text = line.substr(3);
            if (text.starts_with(' '))
                text.remove_prefix(1);
            std::uint64_t n = 0;
            auto const [at, ec] =
                std::from_chars(text.data(), text.data() + text.size(), n);
            if (ec == std::errc())
                res = n;
        }
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return res;
}

/// Returns the end of the first event that ends after `from`, or npos.
std::size_t event_end(std::string_view text, std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1))
    {
        auto next = at + 1;
        if (next < text.size() && text[next] == '\r')
            ++next;
        if (next < text.size() && text[next] == '\n')
            return next + 1;
    }
    return std::string_view::npos;
}

} // namespace

void event_splitter::feed(std::string_view bytes)
{
    if (start_ == buffer_.size())
        clear();
    else if (start_ > compact_above_bytes)
    {
        buffer_.erase(0, start_);
        scanned_ -= start_;
        start_ = 0;
    }
    buffer_.append(bytes);
}

std::optional<stream_event> event_splitter::next()
{
    auto const end = event_end(buffer_, scanned_);
    if (end == std::string::npos)
    {
        // The blank line may begin within the last bytes received.
        scanned_ = buffer_.size() < start_ + 2 ? start_ : buffer_.size() - 2;
        return std::nullopt;
    }
    stream_event res;
    res.text = std::string_view(buffer_).substr(start_, end - start_);
    res.id = id_of(res.text);
    start_ = end;
    scanned_ = end;
    return res;
}

void event_splitter::clear()
{
    // The memory of a long event is released after it.
    if (buffer_.capacity() > kept_bytes)
        kernel::free_memory(buffer_);
    buffer_.clear();
    start_ = 0;
    scanned_ = 0;
}

} // namespace endiveward::gateway
