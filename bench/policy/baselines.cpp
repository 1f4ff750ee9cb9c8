#include "policy/baselines.hpp"

#include "placement/types/placement_choice.hpp"
#include "wire/types/verdict.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace endiveward::bench
{

void baseline::update_endpoint(placement::endpoint_status const& status)
{
    endpoints_[status.id.str()].status = status;
}

void baseline::remove_endpoint(kernel::endpoint_id const& id)
{
    endpoints_.erase(id.str());
}

kernel::result<placement::placement_choice>
baseline::choose(placement::placement_request const& request)
{
    candidate_list candidates;
    bool any = false;
    for (auto const& [id, it] : endpoints_)
    {
        if (!it.status.available || it.status.load.draining)
            continue;
        any = true;
        auto const& out = request.excluded;
        if (std::find(out.begin(), out.end(), it.status.id) == out.end())
            candidates.push_back(&it);
    }
    if (candidates.empty())
        return kernel::error{any ? kernel::error_kind::overloaded
                                 : kernel::error_kind::no_eligible_endpoint,
                             "no endpoint", kernel::run_state::not_run,
                             std::nullopt};
    return placement::placement_choice{pick(request, candidates), 0,
                                       std::chrono::milliseconds(0)};
}

void baseline::on_sent(placement::placement_request const&,
                       kernel::endpoint_id const& endpoint)
{
    ++endpoints_[endpoint.str()].unreported;
}

void baseline::on_verdict(placement::placement_request const&,
                          kernel::endpoint_id const& endpoint,
                          wire::verdict const& answer)
{
    auto& known = endpoints_[endpoint.str()];
    known.status.load = answer.load;
    known.unreported = std::max(known.unreported - 1, 0);
}

void baseline::on_finished(placement::placement_request const&,
                           kernel::endpoint_id const& endpoint,
                           wire::load_report const* load)
{
    auto& known = endpoints_[endpoint.str()];
    if (load != nullptr)
        known.status.load = *load;
    else
        known.unreported = std::max(known.unreported - 1, 0);
}

kernel::endpoint_id round_robin::pick(placement::placement_request const&,
                                      candidate_list const& candidates)
{
    return candidates[turn_++ % candidates.size()]->status.id;
}

kernel::endpoint_id least_loaded::pick(placement::placement_request const&,
                                       candidate_list const& candidates)
{
    // Starting at another endpoint each time spreads equal loads.
    known_endpoint const* best = nullptr;
    ++turn_;
    for (std::size_t i = 0; i < candidates.size(); ++i)
    {
        auto const* it = candidates[(turn_ + i) % candidates.size()];
        if (best == nullptr || it->calls() < best->calls())
            best = it;
    }
    return best->status.id;
}

kernel::endpoint_id
prefix_hash::pick(placement::placement_request const& request,
                  candidate_list const& candidates)
{
    constexpr std::uint64_t points = 100;
    std::size_t const level =
        std::min<std::size_t>(1, request.levels.size() - 1);
    std::uint64_t const key = request.levels[level].hash.low;
    double mean = 1.0;
    for (auto const* it : candidates)
        mean += it->calls() / static_cast<double>(candidates.size());
    known_endpoint const* best = nullptr;
    std::uint64_t best_distance = std::numeric_limits<std::uint64_t>::max();
    for (auto const* it : candidates)
    {
        if (load_bound_ > 0 && it->calls() > load_bound_ * mean)
            continue;
        std::uint64_t const seed = kernel::hash_bytes(it->status.id.str()).low;
        for (std::uint64_t i = 0; i < points; ++i)
        {
            std::uint64_t const distance = kernel::mix64(seed, i) - key;
            if (distance > best_distance)
                continue;
            best_distance = distance;
            best = it;
        }
    }
    return best->status.id;
}

kernel::endpoint_id oracle::pick(placement::placement_request const& request,
                                 candidate_list const& candidates)
{
    using cost = std::tuple<double, double>;
    known_endpoint const* best = nullptr;
    cost best_cost;
    for (auto const* it : candidates)
    {
        auto const& id = it->status.id;
        double const missing =
            static_cast<double>(request.prompt_bytes - view_.hit_bytes(id));
        std::chrono::duration<double> const wait = view_.wait(id);
        cost const now{(view_.alive(id) ? 0 : 1e6) + wait.count() +
                           recompute_weight_ * missing / rate_,
                       view_.occupancy(id)};
        if (best != nullptr && now >= best_cost)
            continue;
        best = it;
        best_cost = now;
    }
    return best->status.id;
}

} // namespace endiveward::bench
