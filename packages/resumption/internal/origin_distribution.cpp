#include "resumption/origin_distribution.hpp"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace endiveward::resumption
{

namespace
{

/// More than one, because any of them may end or be cut off.
constexpr std::size_t max_keepers = 3;
/// All of them may have to be sent to an agent in one message.
constexpr std::size_t own_capacity = 8192;

} // namespace

origin_distribution::origin_distribution()
    : own_(own_capacity)
{
}

origin_distribution::keeper
origin_distribution::make_keeper(kernel::process_id const& agent,
                                 std::size_t group)
{
    auto const& name = agent.str();
    return {XXH3_64bits_withSeed(name.data(), name.size(), group), agent};
}

origin_distribution::parcels
origin_distribution::add(wire::stream_origins const& news,
                         kernel::steady_time now)
{
    parcels res;
    for (auto const& it : news.origins)
    {
        own_.add(it, now);
        for (auto const& keeper : keepers_[it.stream % groups])
            res[keeper.agent].origins.push_back(it);
    }
    return res;
}

origin_distribution::parcels
origin_distribution::add_agent(kernel::process_id const& agent,
                               kernel::steady_time now)
{
    if (!agents_.insert(agent).second)
        return {};
    std::map<std::size_t, kernel::process_id> added;
    for (std::size_t n = 0; n < groups; ++n)
    {
        auto& list = keepers_[n];
        auto const it = make_keeper(agent, n);
        list.insert(
            std::lower_bound(list.begin(), list.end(), it, std::greater<>()),
            it);
        if (list.size() > max_keepers)
            list.pop_back();
        if (std::find(list.begin(), list.end(), it) != list.end())
            added.emplace(n, agent);
    }
    return own_origins(added, now);
}

origin_distribution::parcels
origin_distribution::remove_agent(kernel::process_id const& agent,
                                  kernel::steady_time now)
{
    agents_.erase(agent);
    std::map<std::size_t, kernel::process_id> added;
    for (std::size_t n = 0; n < groups; ++n)
    {
        auto& list = keepers_[n];
        if (std::erase(list, make_keeper(agent, n)) == 0)
            continue;
        keeper best;
        for (auto const& other : agents_)
        {
            auto const it = make_keeper(other, n);
            if (it > best &&
                std::find(list.begin(), list.end(), it) == list.end())
                best = it;
        }
        if (best.agent.empty())
            continue;
        added.emplace(n, best.agent);
        list.push_back(std::move(best));
    }
    return own_origins(added, now);
}

/// The origins that the keepers which were added to these groups need.
origin_distribution::parcels origin_distribution::own_origins(
    std::map<std::size_t, kernel::process_id> const& added_keepers,
    kernel::steady_time now) const
{
    parcels res;
    if (added_keepers.empty())
        return res;
    own_.for_each(now,
                  [&](wire::stream_origin const& it)
                  {
                      auto const found = added_keepers.find(it.stream % groups);
                      if (found != added_keepers.end())
                          res[found->second].origins.push_back(it);
                  });
    return res;
}

std::vector<kernel::process_id>
origin_distribution::keepers_of(std::uint64_t stream) const
{
    std::vector<kernel::process_id> res;
    for (auto const& it : keepers_[stream % groups])
        res.push_back(it.agent);
    return res;
}

} // namespace endiveward::resumption
