#include "gateway/buffer_memory.hpp"

#include <algorithm>
#include <utility>

namespace endiveward::gateway
{

namespace
{

/// Above the events of sound endpoints and what waits for a slow caller until
/// reading from its endpoint is suspended, with the room that strings leave.
constexpr std::size_t small_bytes = 160U << 10U;

} // namespace

buffer_memory::buffer_memory(std::size_t limit)
    : limit_(limit)
{
}

void buffer_memory::on_scarce(std::function<void()> handler)
{
    on_scarce_ = std::move(handler);
}

bool buffer_memory::scarce() const
{
    return used_ > limit_ - limit_ / 4;
}

/// The second half is for small requests and small parts of responses, so that
/// ordinary callers are served beside large requests that run, and slow ones
/// are not given up.
bool buffer_memory::exhausted() const
{
    return used_ > 2 * limit_;
}

memory_excess buffer_memory::excess() const
{
    // Enough that the next request does not make it necessary again.
    auto const relieved = limit_ - limit_ * 3 / 8;
    return {used_ - std::min(used_, relieved),
            exhausted() ? used_ - limit_ : 0};
}

buffer_memory::share::~share()
{
    total_.used_ -= used_;
}

bool buffer_memory::share::set(std::size_t bytes, std::size_t counted_elsewhere)
{
    auto const grows = bytes > used_;
    total_.used_ += bytes;
    total_.used_ -= used_;
    used_ = bytes;
    if (grows && total_.scarce() && total_.on_scarce_)
        total_.on_scarce_();
    return total_.used_ <= total_.limit_ ||
           (bytes + counted_elsewhere <= small_bytes && !total_.exhausted());
}

} // namespace endiveward::gateway
