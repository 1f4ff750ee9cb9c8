#include "router/drain_sequence.hpp"

namespace endiveward::router
{

drain_sequence::drain_sequence(std::chrono::milliseconds notice)
    : notice_(notice)
{
}

drain_sequence::step drain_sequence::on_signal(kernel::steady_time now)
{
    if (draining_since_)
        return step::exit_at_once;
    draining_since_ = now;
    return step::announce;
}

drain_sequence::step drain_sequence::on_tick(kernel::steady_time now,
                                             std::size_t calls)
{
    if (!draining_since_)
        return step::none;
    if (!closed_ && now - *draining_since_ >= notice_)
    {
        closed_ = true;
        return step::close_listeners;
    }
    return closed_ && calls == 0 ? step::exit : step::none;
}

} // namespace endiveward::router
