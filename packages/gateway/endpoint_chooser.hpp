#ifndef ENDIVEWARD_GATEWAY_ENDPOINT_CHOOSER_HPP
#define ENDIVEWARD_GATEWAY_ENDPOINT_CHOOSER_HPP

#include "gateway/endpoint_record.hpp"
#include "gateway/types/demand.hpp"
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

/// Chooses the endpoint at which a request is expected to begin its answer
/// first, counting what would be read again and what moves between zones.
class endpoint_chooser
{
public:
    using record_list = std::span<std::shared_ptr<endpoint_record> const>;

    endpoint_chooser(placement_settings settings, kernel::zone_id own_zone);

    /// Gives none if no endpoint can take the request now.
    std::optional<placement_choice>
    choose(record_list endpoints, service const& target, demand const& wanted,
           weights_view const& weights, kernel::steady_time now) const;

private:
    struct offer;
    struct prompt_view;
    struct search;

    using record_set = std::vector<endpoint_record const*>;

    static offer* cheapest(std::vector<offer>& offers,
                           std::chrono::milliseconds longest_wait);
    record_set sample(search const& context) const;
    bool is_candidate(endpoint_record const& it, record_set const& sampled,
                      search& context) const;
    std::optional<offer> offer_of(std::shared_ptr<endpoint_record> const& it,
                                  search& context) const;
    prompt_view const& view_of(weights::weight_version version,
                               search& context) const;
    double wait_ms(endpoint_record const& it, search const& context) const;
    void add_prompt(offer& made, search& context) const;
    double fetch_ms(endpoint_record const& to, endpoint_record const& from,
                    std::uint32_t tokens, service const& target) const;
    double memory_cost(endpoint_record const& self,
                       request_footprint const& footprint,
                       search const& context) const;

    placement_settings settings_;
    kernel::zone_id own_zone_;
};

/// Text under which an engine finds cached parts: it differs between isolated
/// workspaces, models and versions of their weights.
std::string make_cache_salt(std::string const& cache_group,
                            kernel::model_id const& model,
                            weights::weight_version version);

} // namespace endiveward::gateway

#endif
