#ifndef ENDIVEWARD_AGENT_APP_WEIGHTS_PROCESS_HPP
#define ENDIVEWARD_AGENT_APP_WEIGHTS_PROCESS_HPP

#include "availability/leaving_tracker.hpp"
#include "enginelink/cache_follower.hpp"
#include "enginelink/state_publisher.hpp"
#include "follower/endpoint_snapshot.hpp"
#include "follower/i_cluster_observer.hpp"
#include "follower/row_exchange.hpp"
#include "follower/types/follower_options.hpp"
#include "gateway/types/process_settings.hpp"
#include "kernel/secure_random_source.hpp"
#include "kernel/system_clock.hpp"
#include "kernel/thread_pool.hpp"
#include "observe/decision_log.hpp"
#include "platform/engine_cache.hpp"
#include "platform/engine_orders.hpp"
#include "platform/entry_decoder.hpp"
#include "platform/store_rows.hpp"
#include "weights/weight_updater.hpp"

#include <asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace endiveward::follower
{
class cluster_view;
class table_follower;
} // namespace endiveward::follower

namespace endiveward::app
{

/// An agent on the users' platform: orders the engine on its VM to take the
/// versions of weights that operators name.
class weights_process : public follower::i_cluster_observer
{
public:
    weights_process(gateway::process_settings settings, wire::cluster_key key);
    ~weights_process() override;
    weights_process(weights_process const&) = delete;
    weights_process& operator=(weights_process const&) = delete;

    /// Runs until a signal to stop; gives the exit code.
    int run();

private:
    struct named_version
    {
        weights::weight_version version = 0;
        kernel::steady_time at{};
    };

    void on_configuration(
        std::shared_ptr<gateway::routing_table const> table) override;
    void on_endpoints(
        std::vector<gateway::endpoint_entry> const& endpoints) override;
    void on_target(weights::model_target const& target,
                   storage::table_row const& row,
                   std::optional<kernel::steady_time> announced_at) override;

    /// Reads the list of endpoints, which decides the engine's turn.
    void read_endpoints();
    void plan_turns();
    void update_follow_mode(kernel::steady_time now);
    void poll();
    void log_changed_weights(weights::engine_report const& report);
    void publish(weights::engine_report const& report);
    void publish_unreachable();
    void on_engine_leaving();
    void on_engine_limit(double per_second);
    std::optional<double> engine_limit(kernel::steady_time now) const;
    void start();
    void close_links();
    void flush();
    void ask();
    void order_if_due();

    gateway::process_settings settings_;
    kernel::system_clock clock_;
    kernel::secure_random_source random_;
    /// All work but the wait for signals.
    kernel::thread_pool pool_;
    asio::steady_timer poll_timer_;
    asio::steady_timer flush_timer_;
    observe::decision_log log_;
    platform::store_rows store_;
    platform::entry_decoder decoder_;
    platform::engine_orders engine_;
    platform::engine_cache cache_;
    enginelink::cache_follower cache_follower_;
    follower::row_exchange row_exchange_;
    enginelink::state_publisher publisher_;
    weights::weight_updater updater_;
    std::unique_ptr<follower::cluster_view> view_;
    std::shared_ptr<follower::table_follower> operators_;
    std::map<kernel::model_id, named_version> named_;
    follower::follow_mode follow_mode_ = follower::follow_mode::long_poll;
    follower::endpoint_snapshot endpoint_list_;
    kernel::steady_time asked_routers_at_{};
    wire::engine_state last_state_;
    availability::leaving_tracker leaving_;
    /// The last limit of requests that the engine has named, and when.
    double limit_ = 0;
    std::optional<kernel::steady_time> limit_named_at_;
    /// Whether a report of the engine has been published.
    bool published_ = false;
    std::map<kernel::model_id, weights::weight_version> logged_models_;
    /// Events of the streams in progress at the last report.
    std::uint64_t stream_events_ = 0;
    /// Number of reports in which the engine had made output.
    std::uint64_t progress_ = 0;
    int failed_reports_ = 0;
    bool asking_ = false;
};

} // namespace endiveward::app

#endif
