#include "agent/internal/call_table.hpp"

namespace endiveward::agent
{

call& call_table::add(wire::invoke request)
{
    auto added = std::make_unique<call>();
    added->id = ++last_id_;
    added->request = std::move(request);
    auto& ref = *added;
    calls_by_stream_[ref.request.stream_id] = ref.id;
    calls_[ref.id] = std::move(added);
    return ref;
}

void call_table::remove(std::uint64_t id)
{
    auto* const entry = find(id);
    if (entry == nullptr)
        return;
    detach(*entry);
    calls_by_stream_.erase(entry->request.stream_id);
    calls_.erase(id);
}

call* call_table::find(std::uint64_t id) const
{
    auto const it = calls_.find(id);
    return it == calls_.end() ? nullptr : it->second.get();
}

call* call_table::find_by_stream(kernel::hash128 const& stream) const
{
    auto const it = calls_by_stream_.find(stream);
    return it == calls_by_stream_.end() ? nullptr : find(it->second);
}

call* call_table::find_by_connection(connection_ptr const& conn,
                                     std::uint64_t call_id) const
{
    auto const it = calls_by_connection_.find({conn.get(), call_id});
    return it == calls_by_connection_.end() ? nullptr : find(it->second);
}

void call_table::attach(call& entry, connection_ptr const& conn,
                        std::uint64_t call_id)
{
    detach(entry);
    entry.connection = conn;
    entry.call_id = call_id;
    entry.orphaned_at.reset();
    entry.continues_unattended = false;
    calls_by_connection_[{conn.get(), call_id}] = entry.id;
}

void call_table::detach(call& entry)
{
    if (entry.connection)
        calls_by_connection_.erase({entry.connection.get(), entry.call_id});
    entry.connection.reset();
}

std::vector<std::uint64_t> call_table::ids() const
{
    std::vector<std::uint64_t> all;
    all.reserve(calls_.size());
    for (auto const& [id, it] : calls_)
        all.push_back(id);
    return all;
}

std::vector<std::uint64_t>
call_table::ids_by_connection(connection_ptr const& conn) const
{
    std::vector<std::uint64_t> found;
    for (auto it = calls_by_connection_.lower_bound({conn.get(), 0});
         it != calls_by_connection_.end() && it->first.first == conn.get();
         ++it)
        found.push_back(it->second);
    return found;
}

} // namespace endiveward::agent
