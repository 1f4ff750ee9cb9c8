#include "admission/stream_buffer.hpp"

#include <utility>

namespace endiveward::admission
{

stream_buffer::stream_buffer(std::size_t max_bytes)
    : max_bytes_(max_bytes)
{
}

std::uint64_t stream_buffer::append(std::string bytes)
{
    bytes_ += bytes.size();
    chunks_.push_back(std::move(bytes));
    return next() - 1;
}

void stream_buffer::acknowledge(std::uint64_t next)
{
    while (first_ < next && !chunks_.empty())
    {
        bytes_ -= chunks_.front().size();
        chunks_.pop_front();
        ++first_;
    }
}

std::string const* stream_buffer::find(std::uint64_t number) const
{
    if (number < first_ || number >= next())
        return nullptr;
    return &chunks_[number - first_];
}

} // namespace endiveward::admission
