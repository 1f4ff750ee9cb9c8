#include "gateway/connection_policy.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <tuple>
#include <utility>

namespace endiveward::gateway
{

namespace
{

/// Requests of ordinary callers are mostly smaller. They are not given up for
/// large ones.
constexpr std::size_t small_request_bytes = 48U << 10U;
/// What waits for a slow caller until reading from its endpoint is suspended is
/// smaller.
constexpr std::size_t small_response_bytes = 160U << 10U;

bool is_large(connection_load const& load)
{
    return load.bytes > (load.activity == connection_activity::receiving
                             ? small_request_bytes
                             : small_response_bytes);
}

bool gives_back(connection_load const& load)
{
    return load.activity == connection_activity::receiving ||
           load.activity == connection_activity::unread;
}

/// Whether the caller probably goes on soon.
bool is_recent(connection_load const& load, kernel::steady_time now)
{
    constexpr std::chrono::seconds usual_pause{2};
    return (load.activity == connection_activity::silent || gives_back(load)) &&
           now - load.since < usual_pause;
}

/// A caller that sends or reads fast holds its bytes for a short time only.
double cost(connection_load const& load, kernel::steady_time now)
{
    using seconds = std::chrono::duration<double>;
    // Of connections of the same moment, the largest one comes first.
    constexpr seconds least_age{0.001};
    auto const age = std::max<seconds>(now - load.since, least_age);
    return static_cast<double>(load.bytes) * age.count();
}

} // namespace

std::string_view to_text(connection_activity activity)
{
    switch (activity)
    {
    case connection_activity::lingering:
        return "lingering";
    case connection_activity::silent:
        return "silent";
    case connection_activity::receiving:
        return "receiving";
    case connection_activity::unread:
        return "unread";
    case connection_activity::idle:
        return "idle";
    case connection_activity::serving:
        return "serving";
    }
    return "unknown";
}

std::vector<std::size_t>
connections_to_relieve(std::vector<connection_load> const& loads,
                       memory_excess const& excess, kernel::steady_time now)
{
    // Whether it is large, its cost, and its index.
    std::vector<std::tuple<bool, double, std::size_t>> candidates;
    for (std::size_t n = 0; n < loads.size(); ++n)
    {
        if (gives_back(loads[n]))
            candidates.emplace_back(is_large(loads[n]), cost(loads[n], now), n);
    }
    std::sort(candidates.begin(), candidates.end(), std::greater<>());
    std::vector<std::size_t> res;
    std::size_t freed = 0;
    for (auto const& [large, cost, n] : candidates)
    {
        if (freed >= (large ? excess.of_large : excess.of_all))
            break;
        freed += loads[n].bytes;
        res.push_back(n);
    }
    return res;
}

std::size_t count_lingering(std::vector<connection_load> const& loads)
{
    return static_cast<std::size_t>(std::count_if(
        loads.begin(), loads.end(),
        [](auto const& it)
        { return it.activity == connection_activity::lingering; }));
}

std::optional<std::size_t>
connection_to_displace(std::vector<connection_load> const& loads,
                       spared_connections const& spared,
                       kernel::steady_time now)
{
    auto const spares_lingering = count_lingering(loads) <= spared.lingering;
    auto const recent =
        std::count_if(loads.begin(), loads.end(),
                      [now](auto const& it) { return is_recent(it, now); });
    auto const spares_recent =
        static_cast<std::size_t>(recent) <= spared.recent;
    auto const rank = [&](connection_load const& it)
    {
        return std::tuple(spares_recent && is_recent(it, now), it.activity,
                          it.since);
    };
    std::optional<std::size_t> res;
    for (std::size_t n = 0; n < loads.size(); ++n)
    {
        auto const& it = loads[n];
        if (it.activity == connection_activity::serving ||
            (spares_lingering && it.activity == connection_activity::lingering))
            continue;
        if (!res || rank(it) < rank(loads[*res]))
            res = n;
    }
    return res;
}

} // namespace endiveward::gateway
