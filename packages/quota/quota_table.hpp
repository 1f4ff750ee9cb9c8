#ifndef ENDIVEWARD_QUOTA_QUOTA_TABLE_HPP
#define ENDIVEWARD_QUOTA_QUOTA_TABLE_HPP

#include "kernel/i_clock.hpp"
#include "quota/router_census.hpp"
#include "quota/types/admission.hpp"
#include "quota/types/charge.hpp"
#include "quota/types/limit.hpp"
#include "quota/use_history.hpp"
#include "wire/types/fact_report.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace endiveward::quota
{

using limits_by_workspace = std::unordered_map<workspace_key, limit>;

/// Decides whether workspaces are within their limits, which all routers use
/// together. No I/O.
class quota_table
{
public:
    /// Largest number of facts in one report.
    static constexpr std::size_t max_reported = 256;

    /// `router` is the same after a restart of this process, `start` is not.
    quota_table(std::uint64_t router, std::uint64_t start,
                kernel::steady_time now);

    void set_limits(limits_by_workspace limits, kernel::steady_time now);
    void set_reported_routers(std::size_t n) { census_.set_reported(n); }
    /// Whether any workspace has a limit.
    bool enabled() const { return !limits_.empty(); }
    limit const* find(workspace_key workspace) const;

    /// Whether a request may be sent now.
    admission admit(workspace_key workspace, double cost,
                    kernel::steady_time now);
    /// A request is sent for the first time. Empty for a workspace without a
    /// limit.
    std::optional<charge> on_sent(workspace_key workspace, double cost,
                                  kernel::steady_time now);
    /// The request has certainly not run.
    void give_back(charge const& it, kernel::steady_time now);

    /// A new value that another router has stated.
    void on_fact(wire::fact const& it, kernel::steady_time now);
    /// To be called every tenth of a second. Returns what this router has to
    /// state, without revision and age.
    std::vector<wire::fact> tick(kernel::steady_time now);

    router_census const& routers() const { return census_; }
    double level(workspace_key workspace, kernel::steady_time now) const;

private:
    struct own_use
    {
        double amount = 0;
        double reported = 0;
        kernel::steady_time first{};
        /// Since when some of it has not been reported.
        std::optional<kernel::steady_time> unreported_since;

        void change(double by, kernel::steady_time now);
    };

    struct workspace_state
    {
        use_history all;
        /// Use by this router, also part of `all`.
        use_history own;
        /// By source.
        std::unordered_map<std::uint64_t, own_use> own_by_source;
        /// What other routers have stated.
        struct stated
        {
            double amount = 0;
            kernel::steady_time at{};
        };
        std::unordered_map<std::uint64_t, stated> others;
        std::optional<kernel::steady_time> last_over;
        /// The last random number that decides on this router's turn.
        std::optional<kernel::steady_time> drawn_at;
        double drawn = 0;
        /// When the next refused caller may return.
        kernel::steady_time next_return{};
        /// Part of `all`: what routers that are not heard are taken to use.
        use_history assumed;
        /// The smallest share of the limits when it was added.
        double assumed_at_share = 1;
    };

    double level(limit const& it, workspace_state const& state,
                 kernel::steady_time now) const;
    bool fits(limit const& it, workspace_state const& state, double weighted,
              double level, kernel::steady_time now) const;
    double max_debt(limit const& it, kernel::steady_time now) const;
    bool may_take_turn(workspace_key workspace, limit const& it,
                       workspace_state& state, double weighted, double level,
                       kernel::steady_time now);
    std::chrono::milliseconds plan_return(limit const& it,
                                          workspace_state& state,
                                          double weighted,
                                          std::chrono::milliseconds earliest,
                                          kernel::steady_time now) const;
    double senders(workspace_state const& state, kernel::steady_time now) const;
    static void add_use(workspace_state& state, kernel::steady_time at,
                        double amount, double share);
    void update_share(kernel::steady_time now);
    double draw(std::uint64_t seed);
    std::uint64_t source_at(kernel::steady_time now) const;
    void forget_expired(kernel::steady_time now);

    std::uint64_t const router_;
    std::uint64_t const start_;
    /// Since when the use of all routers is known.
    kernel::steady_time known_since_;
    /// The same according to facts since the last tick.
    kernel::steady_time told_since_;
    std::uint64_t draws_ = 0;
    router_census census_;
    double share_ = 1;
    limits_by_workspace limits_;
    /// Only of workspaces that are in use.
    std::unordered_map<workspace_key, workspace_state> states_;
    kernel::steady_time next_alive_{};
    kernel::steady_time last_cleanup_{};
};

} // namespace endiveward::quota

#endif
