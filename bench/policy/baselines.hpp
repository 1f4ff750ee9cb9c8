#ifndef ENDIVEWARD_BENCH_POLICY_BASELINES_HPP
#define ENDIVEWARD_BENCH_POLICY_BASELINES_HPP

#include "placement/i_placement.hpp"
#include "placement/types/endpoint_status.hpp"
#include "placement/types/placement_request.hpp"
#include "policy/i_cluster_view.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace endiveward::bench
{

/// State that every baseline keeps: availability, last report, own calls.
class baseline : public placement::i_placement
{
public:
    void update_endpoint(placement::endpoint_status const& status) override;
    void remove_endpoint(kernel::endpoint_id const& id) override;
    kernel::result<placement::placement_choice>
    choose(placement::placement_request const& request) override;
    void on_sent(placement::placement_request const& request,
                 kernel::endpoint_id const& endpoint) override;
    void on_verdict(placement::placement_request const& request,
                    kernel::endpoint_id const& endpoint,
                    wire::verdict const& answer) override;
    void on_finished(placement::placement_request const& request,
                     kernel::endpoint_id const& endpoint,
                     wire::load_report const* load) override;

protected:
    struct known_endpoint
    {
        placement::endpoint_status status;
        int unreported = 0;

        double calls() const
        {
            return status.load.running + status.load.queued + unreported;
        }
    };
    using candidate_list = std::vector<known_endpoint const*>;

    /// One of the candidates, which are sorted by id and not empty.
    virtual kernel::endpoint_id
    pick(placement::placement_request const& request,
         candidate_list const& candidates) = 0;

private:
    std::map<std::string, known_endpoint> endpoints_;
};

class round_robin : public baseline
{
protected:
    kernel::endpoint_id pick(placement::placement_request const& request,
                             candidate_list const& candidates) override;

private:
    std::size_t turn_ = 0;
};

/// Fewest calls by the last report and own calls since.
class least_loaded : public baseline
{
protected:
    kernel::endpoint_id pick(placement::placement_request const& request,
                             candidate_list const& candidates) override;

private:
    std::size_t turn_ = 0;
};

/// Consistent hashing of the second prefix level, on a ring of 100 points for
/// each endpoint. With `load_bound` above zero, endpoints with more than that
/// multiple of the mean load are passed over.
class prefix_hash : public baseline
{
public:
    explicit prefix_hash(double load_bound)
        : load_bound_(load_bound)
    {
    }

protected:
    kernel::endpoint_id pick(placement::placement_request const& request,
                             candidate_list const& candidates) override;

private:
    double load_bound_;
};

/// The cost formula of `placement::placement` with true values of every
/// endpoint.
class oracle : public baseline
{
public:
    oracle(i_cluster_view const& view, double recompute_weight,
           std::uint64_t prefill_bytes_per_second)
        : view_(view)
        , recompute_weight_(recompute_weight)
        , rate_(static_cast<double>(prefill_bytes_per_second))
    {
    }

protected:
    kernel::endpoint_id pick(placement::placement_request const& request,
                             candidate_list const& candidates) override;

private:
    i_cluster_view const& view_;
    double recompute_weight_;
    double rate_;
};

} // namespace endiveward::bench

#endif
