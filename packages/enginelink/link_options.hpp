#ifndef ENDIVEWARD_ENGINELINK_LINK_OPTIONS_HPP
#define ENDIVEWARD_ENGINELINK_LINK_OPTIONS_HPP

#include "kernel/i_clock.hpp"
#include "kernel/types/result.hpp"
#include "wire/i_local_identity.hpp"
#include "wire/types/cluster_key.hpp"

#include <memory>
#include <string>

namespace endiveward::wire
{
class i_connection_observer;
struct connection_options;
} // namespace endiveward::wire

namespace endiveward::enginelink
{

/// Identifies this process in hello messages. The incarnation is the start time
/// of the process.
class link_identity : public wire::i_local_identity
{
public:
    link_identity(wire::process_role role, kernel::process_id name,
                  kernel::zone_id zone, kernel::i_clock const& clock);

    wire::hello describe() const override { return hello_; }

private:
    wire::hello hello_;
};

/// Reads the cluster key from an environment variable.
kernel::result<wire::cluster_key> read_cluster_key(std::string const& variable);

/// Creates the options for connections between agents and routers.
std::shared_ptr<wire::connection_options>
make_link_options(wire::cluster_key key,
                  std::shared_ptr<wire::i_local_identity const> identity,
                  std::shared_ptr<wire::i_connection_observer> observer);

} // namespace endiveward::enginelink

#endif
