#include "policy/trace.hpp"

#include "placement/cache_namespace.hpp"
#include "placement/prefix_levels.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <string>

namespace endiveward::bench
{

namespace
{

using placement::block_bytes;

/// A nested part of prompts: its hash in the chain and its length.
struct node
{
    kernel::hash128 hash;
    std::size_t blocks = 0;
};

struct engagement
{
    node self;
    std::vector<node> files;
};

struct workspace
{
    node policy;
    std::vector<engagement> engagements;
};

class trace_maker
{
public:
    trace_maker(workload const& load, std::uint64_t seed)
        : load_(load)
        , random_(seed)
        , pick_workspace_(load.workspace_shares.begin(),
                          load.workspace_shares.end())
    {
        std::vector<double> shares;
        for (auto const& it : load.kinds)
            shares.push_back(it.share);
        pick_kind_ = {shares.begin(), shares.end()};
        // The first engagements of a workspace are the busiest (Zipf, 0.8).
        std::vector<double> zipf;
        for (std::size_t i = 0; i < load.engagements; ++i)
            zipf.push_back(std::pow(static_cast<double>(i + 1), -0.8));
        pick_engagement_ = {zipf.begin(), zipf.end()};
        for (std::size_t i = 0; i < load.workspace_shares.size(); ++i)
            workspaces_.push_back(make_workspace(i));
    }

    trace make()
    {
        trace made;
        std::exponential_distribution<double> gap(load_.rate_per_s);
        sim_time now{0};
        while (true)
        {
            now += to_sim(gap(random_));
            if (now >= load_.duration)
                break;
            made.requests.push_back(make_request(now));
        }
        make_crashes(made);
        return made;
    }

private:
    static sim_time to_sim(double seconds)
    {
        return std::chrono::duration_cast<sim_time>(
            std::chrono::duration<double>(seconds));
    }

    std::size_t below(std::size_t n)
    {
        return std::uniform_int_distribution<std::size_t>(0, n - 1)(random_);
    }

    double uniform() { return std::uniform_real_distribution<>()(random_); }

    node make_node(kernel::hash128 const& parent, std::size_t blocks)
    {
        std::string const name = std::to_string(++nodes_);
        // Lengths differ by up to a half in both directions.
        std::size_t const n = blocks / 2 + below(blocks + 1);
        return {kernel::hash_chained(parent, name),
                std::max<std::size_t>(n, 1)};
    }

    workspace make_workspace(std::size_t i)
    {
        placement::cache_namespace const space(
            kernel::workspace_id("w" + std::to_string(i)),
            kernel::model_id("m"), kernel::model_version("1"), "");
        workspace made;
        made.policy = make_node(space.hash(), load_.policy_blocks);
        for (std::size_t e = 0; e < load_.engagements; ++e)
        {
            engagement part;
            part.self = make_node(made.policy.hash, load_.engagement_blocks);
            for (std::size_t f = 0; f < load_.active_files; ++f)
                part.files.push_back(
                    make_node(part.self.hash, load_.file_blocks));
            made.engagements.push_back(std::move(part));
        }
        return made;
    }

    void shift_hot_prefix(sim_time now)
    {
        if (load_.hot_shift == sim_time(0) || now < next_shift_)
            return;
        next_shift_ += load_.hot_shift;
        hot_workspace_ = below(workspaces_.size());
        hot_engagement_ = below(load_.engagements);
    }

    request_spec make_request(sim_time now)
    {
        shift_hot_prefix(now);
        std::size_t w = pick_workspace_(random_);
        std::size_t e = pick_engagement_(random_);
        if (uniform() < load_.hot_share)
        {
            w = hot_workspace_;
            e = hot_engagement_;
        }
        auto const& kind = load_.kinds[pick_kind_(random_)];
        auto& home = workspaces_[w];
        auto& part = home.engagements[e];
        node& file = part.files[below(part.files.size())];
        if (uniform() * load_.uses_per_file < 1.0)
            file = make_node(part.self.hash, load_.file_blocks);

        request_spec made;
        made.arrival = now;
        made.router = below(load_.routers);
        made.decode = std::chrono::milliseconds(static_cast<std::int64_t>(
            decode_tokens(kind) *
            static_cast<double>(load_.token_time.count())));
        made.deadline = kind.deadline;
        made.priority = kind.priority;
        std::array<node const*, 3> const nodes{&home.policy, &part.self, &file};
        for (std::size_t i = 0; i < kind.levels; ++i)
            append(made, *nodes[i]);
        append_tail(made, kind);
        return made;
    }

    double decode_tokens(request_kind const& kind)
    {
        return kind.output_tokens * (0.5 + uniform());
    }

    static void append(request_spec& made, node const& part)
    {
        for (std::size_t i = 0; i < part.blocks; ++i)
            made.blocks.push_back(kernel::mix64(part.hash.low, i));
        made.prompt_bytes += part.blocks * block_bytes;
        made.levels.push_back({part.hash, made.prompt_bytes});
    }

    // Whole blocks of the tail are cached like others and form the deepest
    // level, as they do in real prompts.
    void append_tail(request_spec& made, request_kind const& kind)
    {
        std::uint64_t const bytes =
            kind.tail_bytes / 2 + below(kind.tail_bytes + 1);
        std::size_t const blocks = bytes / block_bytes;
        if (blocks > 0)
            append(made, {kernel::hash_chained(made.levels.back().hash,
                                               std::to_string(++nodes_)),
                          blocks});
        made.prompt_bytes += bytes % block_bytes;
    }

    void make_crashes(trace& made)
    {
        if (load_.crash_interval == sim_time(0))
            return;
        std::exponential_distribution<double> gap(
            1.0 / std::chrono::duration<double>(load_.crash_interval).count());
        for (sim_time now = to_sim(gap(random_)); now < load_.duration;
             now += to_sim(gap(random_)))
            made.crashes.push_back({now, below(load_.workers)});
    }

    workload const& load_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> pick_workspace_;
    std::discrete_distribution<std::size_t> pick_kind_;
    std::discrete_distribution<std::size_t> pick_engagement_;
    std::vector<workspace> workspaces_;
    std::uint64_t nodes_ = 0;
    std::size_t hot_workspace_ = 0;
    std::size_t hot_engagement_ = 0;
    sim_time next_shift_{0};
};

} // namespace

trace make_trace(workload const& load, std::uint64_t seed)
{
    return trace_maker(load, seed).make();
}

} // namespace endiveward::bench
