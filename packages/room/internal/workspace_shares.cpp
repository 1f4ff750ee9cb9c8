#include "room/workspace_shares.hpp"

#include <algorithm>

namespace endiveward::room
{

namespace
{

/// No workspace should be served less than a quarter as often as all. The
/// correction begins somewhat earlier, since requests that wait are counted
/// only when they are refused.
constexpr double min_served_ratio = 0.35;
/// Fewer requests do not show that a workspace is starved.
constexpr double min_count = 2;
/// Workspaces without recent requests are forgotten beyond this number.
constexpr std::size_t max_shares = 1024;
constexpr double min_weight = 1e-6;

} // namespace

void workspace_shares::on_served(std::uint64_t workspace, double weight,
                                 std::uint32_t work, kernel::steady_time now)
{
    auto& it = share_of(workspace, now);
    auto const begin = std::max(it.finish_tag, virtual_time_);
    virtual_time_ = begin;
    it.finish_tag =
        begin + std::max<double>(work, 1) / std::max(weight, min_weight);
    it.count.on_served(now);
    all_.on_served(now);
}

void workspace_shares::on_refused(std::uint64_t workspace,
                                  kernel::steady_time now)
{
    share_of(workspace, now).count.on_refused(now);
    all_.on_refused(now);
}

double workspace_shares::start_tag(std::uint64_t workspace) const
{
    auto const found = shares_.find(workspace);
    return found == shares_.end()
               ? virtual_time_
               : std::max(found->second.finish_tag, virtual_time_);
}

bool workspace_shares::starved(std::uint64_t workspace,
                               kernel::steady_time now) const
{
    auto const found = shares_.find(workspace);
    if (found == shares_.end() || found->second.count.total(now) < min_count)
        return false;
    return found->second.count.served_share() <
           min_served_ratio * all_.served_share();
}

workspace_shares::share& workspace_shares::share_of(std::uint64_t workspace,
                                                    kernel::steady_time now)
{
    if (shares_.size() >= max_shares && !shares_.contains(workspace))
        std::erase_if(shares_,
                      [&](auto const& it)
                      {
                          return it.second.finish_tag <= virtual_time_ ||
                                 it.second.count.total(now) < min_count;
                      });
    return shares_[workspace];
}

} // namespace endiveward::room
