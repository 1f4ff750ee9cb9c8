#ifndef ENDIVEWARD_AGENT_CALL_TABLE_HPP
#define ENDIVEWARD_AGENT_CALL_TABLE_HPP

#include "agent/internal/call.hpp"
#include "kernel/types/hash128.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace endiveward::agent
{

/// The calls of the agent by number, stream, and connection with call id.
class call_table
{
public:
    using connection_ptr = std::shared_ptr<wire::i_connection>;

    call& add(wire::invoke request);
    void remove(std::uint64_t id);
    call* find(std::uint64_t id) const;
    call* find_stream(kernel::hash128 const& stream) const;
    call* find_on(connection_ptr const& conn, std::uint64_t call_id) const;
    /// From now on the call talks to this connection.
    void attach(call& which, connection_ptr const& conn, std::uint64_t call_id);
    void detach(call& which);
    /// The numbers of all calls, oldest first.
    std::vector<std::uint64_t> ids() const;
    std::vector<std::uint64_t> ids_on(connection_ptr const& conn) const;
    std::size_t size() const { return calls_.size(); }

private:
    using place = std::pair<wire::i_connection const*, std::uint64_t>;

    std::map<std::uint64_t, std::unique_ptr<call>> calls_;
    std::unordered_map<kernel::hash128, std::uint64_t> streams_;
    std::map<place, std::uint64_t> places_;
    std::uint64_t last_id_ = 0;
};

} // namespace endiveward::agent

#endif
