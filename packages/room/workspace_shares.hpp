#ifndef ENDIVEWARD_ROOM_WORKSPACE_SHARES_HPP
#define ENDIVEWARD_ROOM_WORKSPACE_SHARES_HPP

#include "kernel/i_clock.hpp"
#include "room/recent_count.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace endiveward::room
{

/// Weighted fair shares of workspaces by work (start-time fair queueing), and
/// which workspaces are served much less often than the rest. No I/O.
class workspace_shares
{
public:
    void on_served(std::uint64_t workspace, double weight, std::uint32_t work,
                   kernel::steady_time now);
    void on_refused(std::uint64_t workspace, kernel::steady_time now);
    /// The workspace with the smallest value is served next.
    double start_tag(std::uint64_t workspace) const;
    /// Whether the workspace is to be served before others, since too many of
    /// its requests were refused.
    bool starved(std::uint64_t workspace, kernel::steady_time now) const;
    std::size_t size() const { return shares_.size(); }

private:
    struct share
    {
        double finish_tag = 0;
        recent_count count;
    };

    share& share_of(std::uint64_t workspace, kernel::steady_time now);

    std::unordered_map<std::uint64_t, share> shares_;
    recent_count all_;
    double virtual_time_ = 0;
};

} // namespace endiveward::room

#endif
