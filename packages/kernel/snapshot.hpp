#ifndef ENDIVEWARD_KERNEL_SNAPSHOT_HPP
#define ENDIVEWARD_KERNEL_SNAPSHOT_HPP

#include <atomic>
#include <memory>
#include <utility>

namespace endiveward::kernel
{

/// An immutable value that one thread replaces and others read.
template <typename T>
class snapshot
{
public:
    explicit snapshot(std::shared_ptr<T const> initial)
        : current_(std::move(initial))
    {
    }

    std::shared_ptr<T const> load() const { return current_.load(); }
    void store(std::shared_ptr<T const> next)
    {
        current_.store(std::move(next));
    }

private:
    std::atomic<std::shared_ptr<T const>> current_;
};

} // namespace endiveward::kernel

#endif
