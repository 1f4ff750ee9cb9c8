#ifndef ENDIVEWARD_RESUMPTION_ORIGIN_DISTRIBUTION_HPP
#define ENDIVEWARD_RESUMPTION_ORIGIN_DISTRIBUTION_HPP

#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"
#include "resumption/origin_table.hpp"
#include "wire/types/stream_origin.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace endiveward::resumption
{

/// Decides which agents keep the origins of a router's streams. Routers that
/// are connected to nearly the same agents choose nearly the same ones, so that
/// each finds what another one has told. No I/O.
class origin_distribution
{
public:
    /// What is to be sent to each agent.
    using parcels = std::map<kernel::process_id, wire::stream_origins>;

    origin_distribution();

    /// The router has begun these streams.
    parcels add(wire::stream_origins const& news, kernel::steady_time now);
    /// The router has connected to the agent, which may have been away and lost
    /// what it kept.
    parcels add_agent(kernel::process_id const& agent, kernel::steady_time now);
    /// The connection to the agent is lost.
    parcels remove_agent(kernel::process_id const& agent,
                         kernel::steady_time now);
    /// The agents that keep the origin of the stream.
    std::vector<kernel::process_id> keepers_of(std::uint64_t stream) const;

private:
    struct keeper
    {
        std::uint64_t rank = 0;
        kernel::process_id agent;

        // clang-tidy 14 takes the zero of a rewritten comparison for a pointer.
        // NOLINTNEXTLINE(modernize-use-nullptr)
        auto operator<=>(keeper const&) const = default;
    };

    /// Agents are chosen for a group of streams, so that a change of them costs
    /// the same with many streams.
    static constexpr std::size_t groups = 64;

    static keeper make_keeper(kernel::process_id const& agent,
                              std::size_t group);
    parcels
    own_origins(std::map<std::size_t, kernel::process_id> const& added_keepers,
                kernel::steady_time now) const;

    std::set<kernel::process_id> agents_;
    /// Highest rank first.
    std::array<std::vector<keeper>, groups> keepers_;
    origin_table own_;
};

} // namespace endiveward::resumption

#endif
