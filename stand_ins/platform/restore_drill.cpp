#include "platform/restore_drill.hpp"

namespace endiveward::stand_ins
{

restore_drill::restore_drill(restore_options const& options,
                             kernel::steady_time now)
    : options_(options)
{
    if (options_.interval.count() > 0)
        next_ = now + options_.interval;
}

void restore_drill::start(std::chrono::milliseconds copy_age,
                          std::chrono::milliseconds away,
                          kernel::steady_time now)
{
    if (is_away())
        return;
    copy_time_ = now - copy_age;
    back_at_ = now + away;
}

std::optional<kernel::steady_time>
restore_drill::advance(kernel::steady_time now)
{
    if (!is_away() && next_ && now >= *next_)
    {
        start(options_.copy_age, options_.away, now);
        next_ = now + options_.interval;
    }
    if (!is_away() || now < *back_at_)
        return std::nullopt;
    back_at_.reset();
    ++era_;
    return copy_time_;
}

} // namespace endiveward::stand_ins
