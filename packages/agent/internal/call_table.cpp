#include "agent/internal/call_table.hpp"

namespace endiveward::agent
{

call& call_table::add(wire::invoke request)
{
    auto added = std::make_unique<call>();
    added->id = ++last_id_;
    added->request = std::move(request);
    auto& ref = *added;
    streams_[ref.request.stream_id] = ref.id;
    calls_[ref.id] = std::move(added);
    return ref;
}

void call_table::remove(std::uint64_t id)
{
    auto* const which = find(id);
    if (which == nullptr)
        return;
    detach(*which);
    streams_.erase(which->request.stream_id);
    calls_.erase(id);
}

call* call_table::find(std::uint64_t id) const
{
    auto const it = calls_.find(id);
    return it == calls_.end() ? nullptr : it->second.get();
}

call* call_table::find_stream(kernel::hash128 const& stream) const
{
    auto const it = streams_.find(stream);
    return it == streams_.end() ? nullptr : find(it->second);
}

call* call_table::find_on(connection_ptr const& conn,
                          std::uint64_t call_id) const
{
    auto const it = places_.find({conn.get(), call_id});
    return it == places_.end() ? nullptr : find(it->second);
}

void call_table::attach(call& which, connection_ptr const& conn,
                        std::uint64_t call_id)
{
    detach(which);
    which.connection = conn;
    which.call_id = call_id;
    which.orphaned_at.reset();
    which.unattended = false;
    places_[{conn.get(), call_id}] = which.id;
}

void call_table::detach(call& which)
{
    if (which.connection)
        places_.erase({which.connection.get(), which.call_id});
    which.connection.reset();
}

std::vector<std::uint64_t> call_table::ids() const
{
    std::vector<std::uint64_t> all;
    all.reserve(calls_.size());
    for (auto const& [id, it] : calls_)
        all.push_back(id);
    return all;
}

std::vector<std::uint64_t> call_table::ids_on(connection_ptr const& conn) const
{
    std::vector<std::uint64_t> found;
    for (auto it = places_.lower_bound({conn.get(), 0});
         it != places_.end() && it->first.first == conn.get(); ++it)
        found.push_back(it->second);
    return found;
}

} // namespace endiveward::agent
