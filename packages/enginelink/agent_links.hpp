#ifndef ENDIVEWARD_ENGINELINK_AGENT_LINKS_HPP
#define ENDIVEWARD_ENGINELINK_AGENT_LINKS_HPP

#include "kernel/types/identifiers.hpp"
#include "wire/types/cluster_key.hpp"
#include "wire/types/fact_report.hpp"
#include "wire/types/limit_report.hpp"
#include "wire/types/origin_query.hpp"
#include "wire/types/part_report.hpp"
#include "wire/types/stream_origin.hpp"
#include "wire/types/table_row.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace asio
{
class io_context;
}

namespace endiveward::kernel
{
class i_clock;
class i_random_source;
} // namespace endiveward::kernel

namespace endiveward::wire
{
class i_local_identity;
}

namespace endiveward::enginelink
{

class i_engine_listener;
class i_row_source;

struct agent_address
{
    kernel::endpoint_id endpoint;
    std::string host;
    std::uint16_t port = 0;

    bool operator==(agent_address const&) const = default;
};

/// The router's side of the links: maintains a connection to the agent of each
/// engine. Used on the thread of `context`.
class agent_links
{
public:
    agent_links(asio::io_context& context, kernel::i_clock const& clock,
                kernel::i_random_source& random, wire::cluster_key key,
                std::shared_ptr<wire::i_local_identity const> identity,
                i_engine_listener& listener, i_row_source& rows);
    ~agent_links();
    agent_links(agent_links const&) = delete;
    agent_links& operator=(agent_links const&) = delete;

    /// Connects to these agents and closes the links to all others.
    void update(std::vector<agent_address> const& agents);
    /// Requests rows newer than the local ones from a few random agents.
    void request_rows();
    /// Sends a row of the operators' table to all connected agents, and to each
    /// that connects later.
    void send_row(wire::table_row const& row);
    /// Sends what this router has learned to a few agents, the same for all
    /// routers, which pass it on to the others.
    void send_part_report(wire::part_report const& report);
    /// The same for what it has learned about endpoints that name a limit.
    void send_limit_report(wire::limit_report const& report);
    /// The same for facts that routers share. Agents that connect later, and
    /// may pass them on then, get those that still hold.
    void send_fact_report(wire::fact_report const& report);
    /// Sends the origins of this router's streams to the few agents that keep
    /// them, and again to agents that have been away.
    void send_stream_origins(wire::stream_origins const& news);
    /// Asks these agents where a stream began. Returns the number of agents
    /// that were asked.
    std::size_t send_origin_query(wire::origin_query const& query);
    /// Closes all links.
    void close();
    std::size_t connected() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace endiveward::enginelink

#endif
