#include "agent/internal/call_table.hpp"

#include "kernel/free_memory.hpp"

namespace endiveward::agent
{

namespace
{

std::size_t memory_of(wire::invoke const& request)
{
    // While a call runs, a second copy is kept for a repeat and a third one is
    // sent to the endpoint.
    constexpr std::size_t body_copies = 3;
    auto res = sizeof(call) + body_copies * request.body.capacity() +
               request.path.capacity() +
               request.prefix_levels.capacity() * sizeof(wire::prefix_level);
    for (auto const& it : request.headers)
        res += sizeof(it) + it.name.capacity() + it.value.capacity();
    return res;
}

} // namespace

call& call_table::add(wire::invoke request)
{
    auto added = std::make_unique<call>();
    added->id = ++last_id_;
    added->request = std::move(request);
    added->request_bytes = memory_of(added->request);
    request_bytes_ += added->request_bytes;
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
    request_bytes_ -= entry->request_bytes;
    calls_by_stream_.erase(entry->request.stream_id);
    calls_.erase(id);
}

void call_table::release_body(call& entry)
{
    kernel::free_memory(entry.request.body);
    request_bytes_ -= entry.request_bytes;
    entry.request_bytes = memory_of(entry.request);
    request_bytes_ += entry.request_bytes;
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
