#ifndef ENDIVEWARD_GATEWAY_ENDPOINT_CHOOSER_HPP
#define ENDIVEWARD_GATEWAY_ENDPOINT_CHOOSER_HPP

#include "gateway/endpoint_record.hpp"
#include "gateway/prompt_mix.hpp"
#include "gateway/types/endpoint_requirements.hpp"
#include "gateway/types/placement_choice.hpp"
#include "gateway/types/placement_settings.hpp"
#include "gateway/types/service.hpp"

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace endiveward::gateway
{

class weights_view;

/// Chooses the endpoint with the lowest estimated cost for a request: the time
/// until its first output plus penalties for recomputed prompt tokens, traffic
/// between availability zones, failures and outdated weights.
class endpoint_chooser
{
public:
    using record_list = std::span<std::shared_ptr<endpoint_record> const>;

    endpoint_chooser(placement_settings settings, kernel::zone_id own_zone);

    /// Returns no value if no endpoint can take the request now.
    std::optional<placement_choice>
    choose(record_list endpoints, service const& target,
           endpoint_requirements const& requirements,
           weights_view const& weights, kernel::steady_time now) const;

private:
    struct candidate;
    struct prefix_lookup;
    struct selection_context;

    using record_set = std::vector<endpoint_record const*>;

    static candidate* cheapest(std::vector<candidate>& candidates,
                               std::chrono::milliseconds max_wait);
    static candidate* with_capacity(std::vector<candidate>& candidates,
                                    endpoint_requirements const& requirements);
    static bool has_capacity(candidate const& it,
                             endpoint_requirements const& requirements);
    static void describe_shortage(std::vector<candidate> const& candidates,
                                  placement_choice& choice);
    static candidate* by_headroom(std::vector<candidate>& candidates,
                                  endpoint_requirements const& requirements);
    record_set sample(selection_context const& context) const;
    std::vector<candidate> make_candidates(record_set const& sampled,
                                           selection_context& context) const;
    std::vector<candidate> compare_all(selection_context& context) const;
    bool is_candidate(endpoint_record const& it, record_set const& sampled,
                      selection_context& context) const;
    std::optional<candidate>
    make_candidate(std::shared_ptr<endpoint_record> const& it,
                   selection_context& context) const;
    prefix_lookup const& lookup_prefix(weights::weight_version version,
                                       selection_context& context) const;
    double expected_wait_ms(endpoint_record const& it,
                            selection_context const& context) const;
    void add_prompt_costs(candidate& evaluated,
                          selection_context& context) const;
    double transfer_ms(endpoint_record const& to, endpoint_record const& from,
                       std::uint32_t tokens, service const& target) const;
    double memory_cost(placement_choice& choice,
                       selection_context const& context) const;

    placement_settings settings_;
    prompt_mix mix_;
    kernel::zone_id own_zone_;
};

/// The salt under which an engine looks up cached prompt parts. It differs
/// between isolated workspaces, models and model versions, so that none of them
/// shares KV cache with another.
std::string make_cache_salt(std::string const& cache_group,
                            kernel::model_id const& model,
                            weights::weight_version version);

} // namespace endiveward::gateway

#endif
