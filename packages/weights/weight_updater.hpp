#ifndef ENDIVEWARD_WEIGHTS_WEIGHT_UPDATER_HPP
#define ENDIVEWARD_WEIGHTS_WEIGHT_UPDATER_HPP

#include "kernel/i_clock.hpp"
#include "weights/types/engine_report.hpp"
#include "weights/types/load_order.hpp"
#include "weights/types/order_outcome.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace endiveward::weights
{

struct weight_updater_options
{
    /// Name of this process, sent with each order.
    std::string holder;
    /// Time after which an order is sent again if no report shows it as
    /// accepted. An engine reports an accepted order immediately, and refuses a
    /// delayed duplicate because its number of accepted orders is outdated.
    std::chrono::milliseconds resend_after{250};
    /// A load is due this long after the announcement of the oldest version
    /// that the engine has not loaded, even if the scheduled start is later.
    std::chrono::milliseconds max_start_delay{4500};
    /// Maximum time for which a due order is delayed until running requests
    /// have finished. Routers avoid the engine from its scheduled start on.
    std::chrono::milliseconds drain_timeout{600};
};

/// Decides when the engine on this VM is ordered to load which version. Only
/// the agent on the same VM sends it orders, so the fencing number is changed
/// only if the engine has seen a higher one.
class weight_updater
{
public:
    explicit weight_updater(weight_updater_options options);

    /// Sets the target version of a model, announced at `announced_at`, which
    /// this engine loads from `scheduled_start` on. Ignores versions below the
    /// current target.
    void set_target(kernel::model_id const& model, weight_version version,
                    kernel::steady_time announced_at,
                    kernel::steady_time scheduled_start);
    void on_report(engine_report const& report);
    void on_outcome(load_order const& order, order_outcome outcome);

    /// Returns the order to send now, if any.
    std::optional<load_order> next_order(kernel::steady_time now);
    /// Whether the engine has an older version of any model than its target.
    bool has_outdated_model() const;
    /// Whether the engine is executing an order, or a load of new weights is
    /// due.
    bool reloading(kernel::steady_time now) const;

private:
    struct target
    {
        weight_version version = 0;
        kernel::steady_time scheduled_start{};
        std::map<weight_version, kernel::steady_time> announcement_times;
    };

    /// Whether the engine serves the model in an older version.
    bool is_outdated(kernel::model_id const& model,
                     weight_version version) const;
    kernel::steady_time due_at(kernel::model_id const& model,
                               target const& entry) const;

    weight_updater_options options_;
    std::map<kernel::model_id, target> targets_;
    std::optional<engine_report> report_;
    /// Time of the last order; none once a report shows an accepted order or a
    /// restart, or the outcome of the order is `conflict` or `fenced`.
    std::optional<kernel::steady_time> sent_at_;
    std::uint64_t fencing_number_ = 1;
};

} // namespace endiveward::weights

#endif
