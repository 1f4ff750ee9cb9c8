#include "availability/leaving_tracker.hpp"

#include <utility>

namespace endiveward::availability
{

bool leaving_tracker::on_announced()
{
    announced_since_request_ = true;
    return !std::exchange(leaving_, true);
}

void leaving_tracker::on_report_requested()
{
    leaving_at_request_ = leaving_;
    announced_since_request_ = false;
}

/// All answers of an engine that is leaving announce it. An answer without the
/// announcement may have been made before; only one that was requested later
/// comes from another incarnation.
bool leaving_tracker::on_report()
{
    if (!leaving_at_request_ || announced_since_request_)
        return false;
    leaving_ = false;
    leaving_at_request_ = false;
    return true;
}

} // namespace endiveward::availability
