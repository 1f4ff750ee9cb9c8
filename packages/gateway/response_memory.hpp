#ifndef ENDIVEWARD_GATEWAY_RESPONSE_MEMORY_HPP
#define ENDIVEWARD_GATEWAY_RESPONSE_MEMORY_HPP

#include <cstddef>

namespace endiveward::gateway
{

/// Counts the bytes of unfinished responses that are buffered, also for callers
/// that do not read, so that the responses of faulty endpoints do not fill the
/// memory together. Each request
/// may buffer a little in any case. Must be used from one thread.
class response_memory
{
public:
    class share;

private:
    std::size_t used_ = 0;
};

/// What one request buffers.
class response_memory::share
{
public:
    explicit share(response_memory& total)
        : total_(total)
    {
    }
    ~share();
    share(share const&) = delete;
    share& operator=(share const&) = delete;

    /// Sets the number of buffered bytes. Returns false if they are too many
    /// beside those of the other requests.
    bool set(std::size_t bytes);

private:
    response_memory& total_;
    std::size_t used_ = 0;
};

} // namespace endiveward::gateway

#endif
