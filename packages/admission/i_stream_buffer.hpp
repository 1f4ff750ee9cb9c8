#ifndef ENDIVEWARD_ADMISSION_I_STREAM_BUFFER_HPP
#define ENDIVEWARD_ADMISSION_I_STREAM_BUFFER_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace endiveward::admission
{

/// Buffer of the chunks of a stream that the receiver has not acknowledged. Not
/// thread-safe.
class i_stream_buffer
{
public:
    virtual ~i_stream_buffer() = default;

    /// Adds a chunk and returns its number.
    virtual std::uint64_t append(std::string bytes) = 0;
    /// Releases all chunks with numbers below `next`.
    virtual void acknowledge(std::uint64_t next) = 0;
    /// Number of the first buffered chunk.
    virtual std::uint64_t first() const = 0;
    /// Number that the next `append` assigns.
    virtual std::uint64_t next() const = 0;
    /// The chunk with this number; null if it was released or does not exist
    /// yet.
    virtual std::string const* find(std::uint64_t number) const = 0;
    /// Whether the limit is reached, so that the source must not be read until
    /// chunks are acknowledged.
    virtual bool full() const = 0;
    virtual std::size_t bytes() const = 0;
};

} // namespace endiveward::admission

#endif
