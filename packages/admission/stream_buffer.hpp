#ifndef ENDIVEWARD_ADMISSION_STREAM_BUFFER_HPP
#define ENDIVEWARD_ADMISSION_STREAM_BUFFER_HPP

#include "admission/i_stream_buffer.hpp"

#include <deque>

namespace endiveward::admission
{

/// Buffers chunks in memory. It is full from `max_bytes` on; `append` does not
/// check the limit.
class stream_buffer : public i_stream_buffer
{
public:
    explicit stream_buffer(std::size_t max_bytes);

    std::uint64_t append(std::string bytes) override;
    void acknowledge(std::uint64_t next) override;
    std::uint64_t first() const override { return first_; }
    std::uint64_t next() const override { return first_ + chunks_.size(); }
    std::string const* find(std::uint64_t number) const override;
    bool full() const override { return bytes_ >= max_bytes_; }
    std::size_t bytes() const override { return bytes_; }

private:
    std::size_t const max_bytes_;
    std::uint64_t first_ = 0;
    std::size_t bytes_ = 0;
    std::deque<std::string> chunks_;
};

} // namespace endiveward::admission

#endif
