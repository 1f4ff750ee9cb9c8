#include "follower/row_exchange.hpp"

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
    return res;
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
