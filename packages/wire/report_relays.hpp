#ifndef ENDIVEWARD_WIRE_REPORT_RELAYS_HPP
#define ENDIVEWARD_WIRE_REPORT_RELAYS_HPP

#include "kernel/types/identifiers.hpp"

#include <vector>

namespace endiveward::wire
{

class i_connection;

/// An open connection of a router to the agent of an endpoint.
struct relay_candidate
{
    kernel::endpoint_id endpoint;
    i_connection* connection = nullptr;
};

/// Chooses the few agents that pass a router's reports on to the others.
/// Routers that are connected to nearly the same agents choose the same ones.
std::vector<i_connection*>
choose_report_relays(std::vector<relay_candidate> candidates);

} // namespace endiveward::wire

#endif
