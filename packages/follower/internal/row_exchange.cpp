#include "follower/row_exchange.hpp"

#include "follower/cluster_view.hpp"
#include "follower/table_follower.hpp"

#include <algorithm>

namespace endiveward::follower
{

void row_exchange::set_follower(std::shared_ptr<table_follower> follower)
{
    follower_ = std::move(follower);
}

std::vector<wire::table_row>
row_exchange::rows_after(kernel::store_position const& after) const
{
    std::vector<wire::table_row> res;
    if (follower_ == nullptr)
        return res;
    for (auto const& [key, it] : follower_->rows())
    {
        if (it.position > after)
            res.push_back({it.key, it.value, it.position});
    }
    if (view_ == nullptr)
        return res;
    // A row of an earlier era whose content is still the newest is missing in
    // the restored table, so that the other process may lack it whatever
    // position it has read. This ends when the operators have written again.
    auto const era = std::max(after.era, follower_->newest_era());
    for (auto const& it : view_->operator_rows_in_force())
    {
        if (it.position.era >= era)
            continue;
        auto const known = follower_->rows().find(it.key);
        if (it.position > after && known != follower_->rows().end() &&
            known->second.position == it.position)
            continue;
        res.push_back({it.key, it.value, it.position});
    }
    return res;
}

void row_exchange::set_view(cluster_view const& view)
{
    view_ = &view;
}

void row_exchange::on_named_era(std::uint64_t era)
{
    if (follower_ != nullptr)
        follower_->on_named_era(era);
}

void row_exchange::merge(std::vector<wire::table_row> const& rows)
{
    if (follower_ == nullptr)
        return;
    std::vector<storage::table_row> converted;
    converted.reserve(rows.size());
    for (auto const& it : rows)
        converted.push_back({it.key, it.value, it.position, false});
    follower_->merge(converted);
}

/// Position of the newest known row. That of the store may be higher
/// because of changes in other tables.
kernel::store_position row_exchange::position() const
{
    kernel::store_position res;
    if (follower_ == nullptr)
        return res;
    for (auto const& [key, it] : follower_->rows())
        res = std::max(res, it.position);
    return res;
}

} // namespace endiveward::follower
