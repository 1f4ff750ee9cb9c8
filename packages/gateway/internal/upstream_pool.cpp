#include "gateway/upstream_pool.hpp"

#include <algorithm>
#include <iterator>

namespace endiveward::gateway
{

upstream_pool::upstream_pool(asio::io_context& context,
                             kernel::i_clock const& clock,
                             std::shared_ptr<upstream_options const> options,
                             asio::ip::tcp::endpoint peer)
    : context_(context)
    , clock_(clock)
    , options_(std::move(options))
    , peer_(std::move(peer))
{
}

std::shared_ptr<upstream_connection>
upstream_pool::acquire(std::chrono::milliseconds max_idle,
                       std::string_view request_id)
{
    auto const now = clock_.now();
    for (auto n = idle_.size(); n > 0; --n)
    {
        // A copy of an earlier answer to the same id could not be told from the
        // answer to this run.
        if (idle_[n - 1]->has_carried(request_id))
            continue;
        auto conn = take_idle(n - 1);
        if (conn->reusable(now) && now - conn->idle_since() < max_idle)
        {
            ++in_use_;
            return conn;
        }
        conn->abandon();
    }
    if (connections() >= max_connections_ && !idle_.empty())
        take_idle(0)->abandon();
    if (in_use_ >= max_connections_)
        return nullptr;
    ++in_use_;
    return std::make_shared<upstream_connection>(context_, clock_, options_);
}

std::shared_ptr<upstream_connection> upstream_pool::take_idle(std::size_t n)
{
    auto res = std::move(idle_[n]);
    idle_.erase(idle_.begin() + static_cast<std::ptrdiff_t>(n));
    res->on_idle_close({});
    return res;
}

void upstream_pool::release(std::shared_ptr<upstream_connection> conn)
{
    --in_use_;
    if (!conn->reusable(clock_.now()))
        return conn->abandon();
    conn->on_idle_close(
        [weak = weak_from_this()](upstream_connection* closed)
        {
            if (auto const self = weak.lock())
                std::erase_if(self->idle_, [closed](auto const& it)
                              { return it.get() == closed; });
        });
    idle_.push_back(std::move(conn));
}

void upstream_pool::close_expired()
{
    auto const now = clock_.now();
    auto expired =
        std::partition(idle_.begin(), idle_.end(),
                       [now](auto const& it) { return it->reusable(now); });
    std::vector<std::shared_ptr<upstream_connection>> removed(
        std::make_move_iterator(expired), std::make_move_iterator(idle_.end()));
    idle_.erase(expired, idle_.end());
    for (auto const& it : removed)
    {
        it->on_idle_close({});
        it->abandon();
    }
}

void upstream_pool::close_idle()
{
    auto const removed = std::move(idle_);
    idle_.clear();
    for (auto const& it : removed)
    {
        it->on_idle_close({});
        it->abandon();
    }
}

} // namespace endiveward::gateway
