#ifndef ENDIVEWARD_GATEWAY_BUFFER_MEMORY_HPP
#define ENDIVEWARD_GATEWAY_BUFFER_MEMORY_HPP

#include <cstddef>
#include <functional>

namespace endiveward::gateway
{

/// Bytes that connections are to give back.
struct memory_excess
{
    /// Those that have received or not read much.
    std::size_t of_large = 0;
    /// The others, too.
    std::size_t of_all = 0;
};

/// Counts the memory that callers make the process hold: heads, bodies,
/// requests that were sent ahead, requests in progress, and responses that are
/// unfinished or not read. Counted is what is allocated, not what was sent.
/// Must be used from one thread.
class buffer_memory
{
public:
    class share;

    /// `limit` is in bytes, for all shares together. Small ones may take as
    /// much beside it.
    explicit buffer_memory(std::size_t limit);

    void set_limit(std::size_t limit) { limit_ = limit; }
    /// The handler is called whenever a share has grown while the memory is
    /// scarce. It must not change shares.
    void on_scarce(std::function<void()> handler);

    std::size_t used() const { return used_; }
    /// Connections that make no progress are to give back what they hold.
    bool scarce() const;
    /// No request is taken any more.
    bool exhausted() const;
    memory_excess excess() const;

private:
    std::size_t limit_;
    std::size_t used_ = 0;
    std::function<void()> on_scarce_;
};

/// What one connection or one request holds.
class buffer_memory::share
{
public:
    explicit share(buffer_memory& total)
        : total_(total)
    {
    }
    ~share();
    share(share const&) = delete;
    share& operator=(share const&) = delete;

    std::size_t bytes() const { return used_; }
    /// Sets the number of allocated bytes. Returns false if they, with what
    /// another share counts for the same request, are too many beside those of
    /// the others. Little is allowed for longer than much.
    bool set(std::size_t bytes, std::size_t counted_elsewhere = 0);

private:
    buffer_memory& total_;
    std::size_t used_ = 0;
};

} // namespace endiveward::gateway

#endif
