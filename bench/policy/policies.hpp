#ifndef ENDIVEWARD_BENCH_POLICY_POLICIES_HPP
#define ENDIVEWARD_BENCH_POLICY_POLICIES_HPP

#include "kernel/i_clock.hpp"
#include "placement/i_placement.hpp"
#include "policy/i_cluster_view.hpp"
#include "policy/workload.hpp"

#include <array>
#include <memory>
#include <string_view>

namespace endiveward::bench
{

enum class policy_kind : std::uint8_t
{
    round_robin,
    least_loaded,
    prefix_hash,
    bounded_prefix_hash,
    oracle,
    /// `placement::placement` without the agent's verdict.
    trusting,
    endiveward
};

inline constexpr std::array all_policies{
    policy_kind::round_robin, policy_kind::least_loaded,
    policy_kind::prefix_hash, policy_kind::bounded_prefix_hash,
    policy_kind::oracle,      policy_kind::trusting,
    policy_kind::endiveward};

std::string_view to_string(policy_kind kind);

/// The decision object of one router.
std::unique_ptr<placement::i_placement>
make_policy(policy_kind kind, workload const& load,
            std::shared_ptr<kernel::i_clock const> const& clock,
            i_cluster_view const& view);

} // namespace endiveward::bench

#endif
