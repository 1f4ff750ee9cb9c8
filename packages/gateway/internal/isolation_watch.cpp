#include "gateway/isolation_watch.hpp"

#include "gateway/routing_table.hpp"

#include <algorithm>
#include <utility>

namespace endiveward::gateway
{

namespace
{

/// Requests that were sent before the oldest of these leave at once.
constexpr std::size_t max_changes = 64;
/// Requests of the isolated workspace leave after half of the time: many end by
/// themselves until then. Those of others follow in the next quarter, so that
/// endpoints do not get them all at once.
constexpr int begin_divisor = 2;
constexpr int spread_divisor = 4;

workspace_entry const* find(routing_table const& table,
                            kernel::workspace_id const& id)
{
    for (auto const& it : table.config().workspaces)
    {
        if (it.id == id)
            return &it;
    }
    return nullptr;
}

} // namespace

isolation_watch::isolation_watch(kernel::i_clock const& clock,
                                 std::chrono::milliseconds deadline)
    : clock_(clock)
    , deadline_(deadline)
{
}

void isolation_watch::set_deadline(std::chrono::milliseconds deadline)
{
    deadline_ = deadline;
}

void isolation_watch::on_table(routing_table const* before,
                               routing_table const& after)
{
    // A workspace that is free again may share what it made before.
    for (auto& it : changes_)
        std::erase_if(it.workspaces,
                      [&](auto const& id)
                      {
                          auto const* const found = find(after, id);
                          return found != nullptr && !found->isolated;
                      });
    if (before == nullptr)
        return;
    change res{clock_.now(), {}};
    for (auto const& it : before->config().workspaces)
    {
        auto const* const found = find(after, it.id);
        if (!it.isolated && found != nullptr && found->isolated)
            res.workspaces.push_back(it.id);
    }
    if (res.workspaces.empty())
        return;
    ++count_;
    changes_.push_back(std::move(res));
    if (changes_.size() > max_changes)
        changes_.pop_front();
}

isolation_watch::cache_use
isolation_watch::use_of(routing_table const& table,
                        workspace_entry const* workspace,
                        std::uint64_t seed) const
{
    auto const is_shared =
        table.cache_group_of(workspace) == table.cache_group_of(nullptr);
    return {is_shared, workspace, count_, seed};
}

std::optional<isolation_watch::departure>
isolation_watch::departure_of(cache_use const& use) const
{
    if (!use.is_shared)
        return std::nullopt;
    auto const known =
        std::min<std::uint64_t>(count_ - use.changes, changes_.size());
    auto const first = std::find_if(
        changes_.end() - static_cast<std::ptrdiff_t>(known), changes_.end(),
        [](change const& it) { return !it.workspaces.empty(); });
    if (first == changes_.end())
        return std::nullopt;
    auto const is_own = [&](change const& it)
    {
        return use.workspace != nullptr &&
               std::find(it.workspaces.begin(), it.workspaces.end(),
                         use.workspace->id) != it.workspaces.end();
    };
    auto const begin = first->at + deadline_ / begin_divisor;
    if (std::any_of(first, changes_.end(), is_own))
        return departure{begin, true};
    auto const spread = deadline_ / spread_divisor;
    if (spread.count() <= 0)
        return departure{begin, false};
    auto const delay = use.seed % static_cast<std::uint64_t>(spread.count());
    return departure{
        begin + std::chrono::milliseconds(static_cast<std::int64_t>(delay)),
        false};
}

} // namespace endiveward::gateway
