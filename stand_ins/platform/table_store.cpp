#include "platform/table_store.hpp"

namespace endiveward::stand_ins
{

std::vector<std::string>
table_store::commit(std::vector<condition> const& conditions,
                    std::vector<write> const& writes, kernel::steady_time now)
{
    std::vector<std::string> failed;
    for (auto const& it : conditions)
    {
        auto const found = rows_.find(it.key);
        auto const version = found == rows_.end() ? 0 : found->second.version;
        if (version != it.version)
            failed.push_back(it.key);
    }
    if (!failed.empty())
        return failed;
    for (auto const& it : writes)
    {
        undo_.record(
            now,
            [this, key = it.key, before = read(it.key), count = writes_[it.key]]
            {
                writes_[key] = count;
                if (before)
                    rows_[key] = *before;
                else
                    rows_.erase(key);
            });
        auto const version = ++writes_[it.key];
        if (it.value)
            rows_[it.key] = {it.key, *it.value, version};
        else
            rows_.erase(it.key);
    }
    return failed;
}

std::optional<table_row> table_store::read(std::string const& key) const
{
    auto const it = rows_.find(key);
    if (it == rows_.end())
        return std::nullopt;
    return it->second;
}

std::vector<table_row> table_store::scan(std::string const& prefix,
                                         std::string const& after,
                                         std::size_t limit) const
{
    std::vector<table_row> found;
    auto it =
        after < prefix ? rows_.lower_bound(prefix) : rows_.upper_bound(after);
    for (; it != rows_.end() && found.size() < limit; ++it)
    {
        if (it->first.rfind(prefix, 0) != 0)
            break;
        found.push_back(it->second);
    }
    return found;
}

} // namespace endiveward::stand_ins
