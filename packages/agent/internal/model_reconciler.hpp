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

/// What a model reconciler works with.
struct reconciler_services
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

/// Orders the engine to load and unload until it reports the models that the
/// configuration lists for the endpoint. Used on the traffic thread.
class model_reconciler : public std::enable_shared_from_this<model_reconciler>
{
    reconciler_services services_;

public:
    /// An order without visible effect is repeated after this time.
    static constexpr std::chrono::seconds repeat_interval{5};

    model_reconciler(reconciler_services services, kernel::endpoint_id own);

    /// Compares and sends the order that is due; call about once a second.
    void tick();

private:
    std::optional<engine_order> find_due() const;
    bool obtain_slot(engine_order const& due);
    void issue(engine_order const& due);
    void on_answer(kernel::result<kernel::done> const& res);
    void stand_down();

    kernel::endpoint_id const own_;
    std::shared_ptr<order_issuer> issuer_;
    bool waiting_ = false;
    /// The last order and when it may be repeated.
    engine_order last_;
    kernel::steady_time repeat_at_;
    kernel::steady_time next_slot_poll_;
};

} // namespace endiveward::agent

#endif
