#ifndef ENDIVEWARD_WIRE_TYPES_FACT_REPORT_HPP
#define ENDIVEWARD_WIRE_TYPES_FACT_REPORT_HPP

#include <chrono>
#include <cstdint>
#include <vector>

namespace endiveward::wire
{

enum class fact_kind : std::uint8_t
{
    /// Key: workspace. Value: what a router has admitted for it in one second.
    workspace_use = 1,
    /// Key: endpoint and incarnation. Value: factor to the nominal speed.
    endpoint_speed = 2,
    /// Key: a router that is in service. Source: its start.
    process_alive = 3,
    /// Key: service, software version and era of the store. Value: version of
    /// the row that a router has written, negative if the version is gone.
    software_version = 4
};

/// A value that a router shares with the others.
struct fact
{
    fact_kind kind = fact_kind::process_alive;
    std::uint64_t key = 0;
    /// Who states the fact. Facts of different sources are kept side by side.
    std::uint64_t source = 0;
    double value = 0;
    /// Grows with each new value of the same kind, key and source.
    std::uint32_t revision = 0;
    /// Time since the source stated it, without the time on links.
    std::chrono::milliseconds age{0};

    bool operator==(fact const&) const = default;
};

struct fact_report
{
    std::vector<fact> facts;

    bool operator==(fact_report const&) const = default;
};

} // namespace endiveward::wire

#endif
