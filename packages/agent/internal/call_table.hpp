#ifndef ENDIVEWARD_AGENT_CALL_TABLE_HPP
#define ENDIVEWARD_AGENT_CALL_TABLE_HPP

#include "agent/internal/call.hpp"
#include "kernel/types/hash128.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endiveward::agent
{

/// The agent's calls, indexed by id, by stream id, and by connection and call
/// id.
class call_table
{
public:
    using connection_ptr = std::shared_ptr<wire::i_connection>;

    call& add(wire::invoke request);
    void remove(std::uint64_t id);
    /// Frees the request's body, which is not needed after the call has ended.
    void release_body(call& entry);
    call* find(std::uint64_t id) const;
    call* find_by_stream(kernel::hash128 const& stream) const;
    call* find_by_connection(connection_ptr const& conn,
                             std::uint64_t call_id) const;
    /// Sets the connection to which the call's messages are sent.
    void attach(call& entry, connection_ptr const& conn, std::uint64_t call_id);
    void detach(call& entry);
    /// The ids of all calls, oldest first.
    std::vector<std::uint64_t> ids() const;
    std::vector<std::uint64_t>
    ids_by_connection(connection_ptr const& conn) const;
    std::size_t size() const { return calls_.size(); }
    /// Memory that the requests of all calls take.
    std::size_t request_bytes() const { return request_bytes_; }

private:
    using connection_key = std::pair<wire::i_connection const*, std::uint64_t>;

    std::map<std::uint64_t, std::unique_ptr<call>> calls_;
    std::unordered_map<kernel::hash128, std::uint64_t> calls_by_stream_;
    std::map<connection_key, std::uint64_t> calls_by_connection_;
    std::uint64_t last_id_ = 0;
    std::size_t request_bytes_ = 0;
};

} // namespace endiveward::agent

#endif
