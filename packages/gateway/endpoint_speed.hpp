#ifndef ENDIVEWARD_GATEWAY_ENDPOINT_SPEED_HPP
#define ENDIVEWARD_GATEWAY_ENDPOINT_SPEED_HPP

#include "gateway/types/request_work.hpp"
#include "kernel/i_clock.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace endiveward::gateway
{

/// The speed of one endpoint as a factor to the nominal cost model, learned
/// from the times of its answers, from other processes and from the figure by
/// which it says how long work takes there now. No I/O.
class endpoint_speed
{
public:
    /// Bounds of the learned factor.
    static constexpr double min_factor = 0.25;
    static constexpr double max_factor = 4;

    /// Until this is called, the factor is 1 and nothing is learned.
    void enable() { enabled_ = true; }
    bool enabled() const { return enabled_; }

    /// An answer says that work takes `factor` times as long as usual.
    void on_figure(double factor, kernel::steady_time now);
    /// The first output of a request arrived `taken` after it was sent. To be
    /// called after `on_figure` for the same answer. Returns false if nothing
    /// can be learned from it.
    bool on_answer(request_work const& expected, request_work::duration taken,
                   kernel::steady_time now);
    /// The factor that another process has learned.
    void on_shared(std::uint64_t source, double factor,
                   kernel::steady_time now);
    /// Sets the mean factor of the service, from which the factor of an
    /// endpoint without answers is taken. To be called regularly. Returns true
    /// if `home_weight` has changed.
    bool refresh(double service_mean, kernel::steady_time now);
    /// The endpoint has restarted.
    void reset();

    /// What this process has learned by itself.
    std::optional<double> own_factor() const;
    /// Whether answers to any process were learned from recently.
    bool has_samples(kernel::steady_time now) const;
    /// The factor without what comes and goes.
    double learned(kernel::steady_time now) const;
    /// The factor at this moment.
    double current(kernel::steady_time now) const;
    /// The learned factor in coarse steps, so that processes agree on it.
    double home_weight() const;

private:
    struct estimate
    {
        std::uint64_t source = 0;
        /// Logarithm of the factor.
        double level = 0;
        double weight = 0;
        kernel::steady_time at{};
    };

    double service_level_ = 0;
    /// From this process's own requests.
    estimate own_;
    /// From other processes.
    std::vector<estimate> shared_;
    /// Logarithms of the last figure and of a long-term mean of the figures.
    double figure_ = 0;
    double usual_figure_ = 0;
    std::size_t figures_ = 0;
    kernel::steady_time figure_at_{};
    std::optional<int> step_;
    bool enabled_ = false;
};

} // namespace endiveward::gateway

#endif
