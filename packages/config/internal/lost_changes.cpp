#include "config/lost_changes.hpp"

#include "config/config_json.hpp"
#include "config/i_config_state.hpp"
#include "config/i_configuration.hpp"
#include "config/log_era.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <utility>

namespace endiveward::config
{

namespace
{

/// Transactions of the table have limits. The rest follows with the next poll.
constexpr std::size_t max_changes = 30;

} // namespace

// Before the first change of an era, the versions up to the head belong to the
// same history in the table and in this process. A head that is behind in the
// era of this process's own version is a stale read.
std::optional<storage::table_transaction>
restore_lost_changes(i_config_state const& state,
                     change_log_read_result const& log)
{
    auto const version = state.current()->version();
    if (log.head_version >= version || version >= base_version(log.era))
        return std::nullopt;
    auto const lost = state.update_since(log.head_version);
    if (lost.snapshot)
        return std::nullopt;
    auto const list = nlohmann::json::parse(lost.body, nullptr, false);
    if (!list.is_array())
        return std::nullopt;
    storage::table_transaction res;
    res.conditions.push_back({head_key(), log.head ? log.head->version : 0});
    auto next = log.head_version;
    for (auto const& it : list)
    {
        auto const text = it.dump();
        auto const parsed = parse_change(text);
        if (!kernel::ok(parsed) || next - log.head_version >= max_changes)
            break;
        ++next;
        auto const& id = kernel::value(parsed).id;
        res.conditions.push_back({change_key(id), 0});
        res.writes.push_back({log_key(next), text});
        res.writes.push_back({change_key(id), std::to_string(next)});
    }
    if (next == log.head_version)
        return std::nullopt;
    res.writes.push_back({head_key(), std::to_string(next)});
    return res;
}

} // namespace endiveward::config
