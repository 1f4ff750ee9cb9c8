#include "policy/policies.hpp"

#include "placement/placement.hpp"
#include "policy/baselines.hpp"

namespace endiveward::bench
{

std::string_view to_string(policy_kind kind)
{
    switch (kind)
    {
    case policy_kind::round_robin:
        return "round robin";
    case policy_kind::least_loaded:
        return "least loaded";
    case policy_kind::prefix_hash:
        return "prefix hash";
    case policy_kind::bounded_prefix_hash:
        return "bounded prefix hash";
    case policy_kind::oracle:
        return "oracle";
    case policy_kind::trusting:
        return "no verdict";
    case policy_kind::endiveward:
        return "endiveward";
    }
    return "";
}

std::unique_ptr<placement::i_placement>
make_policy(policy_kind kind, workload const& load,
            std::shared_ptr<kernel::i_clock const> const& clock,
            i_cluster_view const& view)
{
    switch (kind)
    {
    case policy_kind::round_robin:
        return std::make_unique<round_robin>();
    case policy_kind::least_loaded:
        return std::make_unique<least_loaded>();
    case policy_kind::prefix_hash:
        return std::make_unique<prefix_hash>(0.0);
    case policy_kind::bounded_prefix_hash:
        return std::make_unique<prefix_hash>(1.25);
    case policy_kind::oracle:
        return std::make_unique<oracle>(view, load.recompute_weight,
                                        load.prefill_bytes_per_second);
    case policy_kind::trusting:
    case policy_kind::endiveward:
        break;
    }
    placement::placement_options options;
    options.recompute_weight = load.recompute_weight;
    options.candidates = load.candidates;
    options.prefill_bytes_per_second = load.prefill_bytes_per_second;
    return std::make_unique<placement::placement>(
        clock, kernel::region_id("local"), options);
}

} // namespace endiveward::bench
