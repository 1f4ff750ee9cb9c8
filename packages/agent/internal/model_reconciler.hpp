#ifndef ENDIVEWARD_AGENT_MODEL_RECONCILER_HPP
#define ENDIVEWARD_AGENT_MODEL_RECONCILER_HPP

#include "agent/types/engine_order.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"
#include "kernel/types/result.hpp"

#include <chrono>
#include <memory>
#include <optional>

namespace endiveward::admission
{
class i_order_lease;
class i_weight_load_slots;
} // namespace endiveward::admission
namespace endiveward::config
{
class i_config_state;
}
namespace endiveward::kernel
{
class i_random_source;
}

namespace endiveward::agent
{

class agent_metrics;
class i_endpoint_client;
class load_reporter;
class order_issuer;

struct model_reconciler_dependencies
{
    std::shared_ptr<kernel::i_clock const> clock;
    std::shared_ptr<kernel::i_random_source> random;
    std::shared_ptr<config::i_config_state const> configuration;
    std::shared_ptr<load_reporter> load;
    std::shared_ptr<i_endpoint_client> endpoint;
    std::shared_ptr<admission::i_order_lease> lease;
    std::shared_ptr<admission::i_weight_load_slots> slots;
    std::shared_ptr<agent_metrics> metrics;
};

/// Sends load and unload orders to the engine until it reports the models that
/// the configuration lists for the endpoint. Used on the traffic thread.
class model_reconciler : public std::enable_shared_from_this<model_reconciler>
{
    model_reconciler_dependencies dependencies_;

public:
    /// An order that has not taken effect is repeated after this interval.
    static constexpr std::chrono::seconds retry_interval{5};

    model_reconciler(model_reconciler_dependencies dependencies,
                     kernel::endpoint_id id);

    /// Compares the loaded models with the configuration and sends the next
    /// order, if any. Must be called about once a second.
    void tick();

private:
    std::optional<engine_order> find_due_order() const;
    bool acquire_load_slot(engine_order const& due);
    void issue(engine_order const& due);
    void on_response(kernel::result<kernel::done> const& res);
    void release_slot_and_lease();

    kernel::endpoint_id const endpoint_id_;
    std::shared_ptr<order_issuer> issuer_;
    bool response_pending_ = false;
    /// The last order sent, and the earliest time to repeat it.
    engine_order last_order_;
    kernel::steady_time retry_at_;
    kernel::steady_time next_slot_poll_;
};

} // namespace endiveward::agent

#endif
