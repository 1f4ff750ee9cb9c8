#ifndef ENDIVEWARD_PLACEMENT_PLACEMENT_HPP
#define ENDIVEWARD_PLACEMENT_PLACEMENT_HPP

#include "kernel/i_clock.hpp"
#include "placement/i_placement.hpp"
#include "placement/types/placement_options.hpp"

#include <cstddef>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace endiveward::placement
{

class endpoint_record;

/// Ranks endpoints by nested rendezvous hashing of the prefix levels and
/// chooses the one with the lowest cost among the first ranks.
class placement : public i_placement
{
public:
    /// Endpoints outside `own_region` are used only while that region has no
    /// available endpoint for a request.
    placement(std::shared_ptr<kernel::i_clock const> clock,
              kernel::region_id own_region, placement_options options);
    ~placement() override;

    void update_endpoint(endpoint_status const& status) override;
    void remove_endpoint(kernel::endpoint_id const& id) override;
    kernel::result<placement_choice>
    choose(placement_request const& request) override;
    void on_sent(placement_request const& request,
                 kernel::endpoint_id const& endpoint) override;
    void on_verdict(placement_request const& request,
                    kernel::endpoint_id const& endpoint,
                    wire::verdict const& verdict) override;
    void on_finished(placement_request const& request,
                     kernel::endpoint_id const& endpoint,
                     wire::load_report const* load) override;

    /// Number of hit hints stored for an endpoint; 0 if it is unknown.
    std::size_t hint_count(kernel::endpoint_id const& endpoint) const;

private:
    using record_list = std::vector<endpoint_record const*>;

    record_list eligible_records(placement_request const& request) const;
    void rank(placement_request const& request, record_list& records);
    placement_choice select_cheapest(placement_request const& request,
                                     record_list const& ranked) const;
    endpoint_record* find(kernel::endpoint_id const& id);

    std::shared_ptr<kernel::i_clock const> clock_;
    kernel::region_id own_region_;
    placement_options options_;
    mutable std::mutex mutex_;
    std::unordered_map<kernel::endpoint_id, std::unique_ptr<endpoint_record>>
        records_;
    /// Number of requests without prefix levels so far. Used as their
    /// rendezvous key, so that they spread over the endpoints.
    std::uint64_t unprefixed_calls_ = 0;
};

} // namespace endiveward::placement

#endif
