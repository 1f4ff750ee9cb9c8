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
    std::string holder;
    /// An order whose effect does not show within this is sent again. An engine
    /// reports an accepted order at once, and refuses a late one by its count.
    std::chrono::milliseconds resend_after{250};
    /// An endpoint whose turn has not come takes its weights at this age of
    /// the oldest version that it lacks.
    std::chrono::milliseconds max_start_delay{4500};
    /// Routers avoid an engine from its turn on; its runs have this long to
    /// end before it is ordered.
    std::chrono::milliseconds drain_timeout{600};
};

/// Decides when the engine of this VM is ordered to take which version. The
/// agent beside an engine is the only one that gives it orders, so one fencing
/// number serves for good.
class weight_updater
{
public:
    explicit weight_updater(weight_updater_options options);

    /// A version was named; this engine's turn begins at `turn`.
    void set_target(kernel::model_id const& model, weight_version version,
                    kernel::steady_time announced_at,
                    kernel::steady_time scheduled_start);
    void on_report(engine_report const& report);
    void on_outcome(load_order const& order, order_outcome outcome);

    /// The order to send now, if any.
    std::optional<load_order> next_order(kernel::steady_time now);
    /// Whether a model lacks its newest version.
    bool has_outdated_model() const;
    /// Whether the engine takes new weights, or its turn to do so has come.
    bool reloading(kernel::steady_time now) const;

private:
    struct target
    {
        weight_version version = 0;
        kernel::steady_time scheduled_start{};
        /// When the oldest version was named that the engine lacks.
        kernel::steady_time outdated_since{};
    };

    /// Whether the engine has the model, but an older version of it.
    bool is_outdated(kernel::model_id const& model,
                     weight_version version) const;
    kernel::steady_time due_at(target const& entry) const;

    weight_updater_options options_;
    std::map<kernel::model_id, target> targets_;
    std::optional<engine_report> report_;
    std::optional<kernel::steady_time> sent_at_;
    std::uint64_t fencing_number_ = 1;
};

} // namespace endiveward::weights

#endif
