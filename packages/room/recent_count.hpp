#ifndef ENDIVEWARD_ROOM_RECENT_COUNT_HPP
#define ENDIVEWARD_ROOM_RECENT_COUNT_HPP

#include "kernel/i_clock.hpp"

namespace endiveward::room
{

/// Numbers of requests that were served and refused lately. No I/O.
class recent_count
{
public:
    void on_served(kernel::steady_time now);
    void on_refused(kernel::steady_time now);
    double total(kernel::steady_time now) const;
    /// Share that was served; 1 if there were no requests.
    double served_share() const;

private:
    void decay(kernel::steady_time now);

    kernel::steady_time updated_at_{};
    double served_ = 0;
    double refused_ = 0;
};

} // namespace endiveward::room

#endif
