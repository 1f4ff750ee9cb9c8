#include "enginelink/link_options.hpp"

#include "kernel/secure_random_source.hpp"
#include "wire/connection_options.hpp"
#include "wire/types/wire_counters.hpp"

#include <fmt/format.h>

#include <cstdlib>

namespace endiveward::enginelink
{

namespace
{

constexpr std::chrono::milliseconds handshake_timeout{1500};
/// Limit of unsent bytes per connection. A router that falls this far behind an
/// agent's reports is disconnected and starts again with a full report.
constexpr std::size_t max_pending_bytes = 1U << 20U;

} // namespace

link_identity::link_identity(wire::process_role role, kernel::process_id name,
                             kernel::zone_id zone, kernel::i_clock const& clock)
{
    hello_.role = role;
    hello_.process = std::move(name);
    hello_.zone = std::move(zone);
    hello_.accepts_part_reports = true;
    hello_.accepts_limit_reports = true;
    hello_.accepts_facts = true;
    hello_.accepts_stream_origins = true;
    auto const started = std::chrono::duration_cast<std::chrono::milliseconds>(
        clock.wall_now().time_since_epoch());
    hello_.incarnation = static_cast<kernel::incarnation>(started.count());
}

kernel::result<wire::cluster_key> read_cluster_key(std::string const& variable)
{
    char const* const text = std::getenv(variable.c_str());
    wire::cluster_key res{text == nullptr ? "" : text};
    if (res.bytes.size() < wire::cluster_key::min_bytes)
        return kernel::error{
            kernel::error_kind::invalid_settings,
            fmt::format("the environment variable {} must hold the cluster "
                        "key, at least {} bytes, the same for all processes",
                        variable, wire::cluster_key::min_bytes),
            kernel::run_state::not_run,
            {}};
    return res;
}

std::shared_ptr<wire::connection_options>
make_link_options(wire::cluster_key key,
                  std::shared_ptr<wire::i_local_identity const> identity,
                  std::shared_ptr<wire::i_connection_observer> observer)
{
    auto res = std::make_shared<wire::connection_options>();
    res->key = std::move(key);
    res->identity = std::move(identity);
    res->random = std::make_shared<kernel::secure_random_source>();
    res->counters = std::make_shared<wire::wire_counters>();
    res->observer = std::move(observer);
    res->handshake_timeout = handshake_timeout;
    res->max_pending_bytes = max_pending_bytes;
    return res;
}

} // namespace endiveward::enginelink
