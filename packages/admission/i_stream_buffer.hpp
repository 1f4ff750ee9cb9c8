#ifndef ENDIVEWARD_ADMISSION_I_STREAM_BUFFER_HPP
#define ENDIVEWARD_ADMISSION_I_STREAM_BUFFER_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace endiveward::admission
{

/// Chunks of one stream that the receiver has not acknowledged. Used on one
/// thread.
class i_stream_buffer
{
public:
    virtual ~i_stream_buffer() = default;

    /// Adds a chunk and gives its number.
    virtual std::uint64_t append(std::string bytes) = 0;
    /// The receiver has everything below `next`.
    virtual void acknowledge(std::uint64_t next) = 0;
    /// Number of the first chunk that is still kept.
    virtual std::uint64_t first() const = 0;
    /// Number of the chunk that `append` adds next.
    virtual std::uint64_t next() const = 0;
    /// A kept chunk; null if it was released or does not exist yet.
    virtual std::string const* find(std::uint64_t number) const = 0;
    /// The source must not be read further until chunks are acknowledged.
    virtual bool full() const = 0;
    virtual std::size_t bytes() const = 0;
};

} // namespace endiveward::admission

#endif
