#ifndef ENDIVEWARD_APP_GATEWAY_PROCESS_HPP
#define ENDIVEWARD_APP_GATEWAY_PROCESS_HPP

#include "enginelink/i_engine_listener.hpp"
#include "follower/i_cluster_observer.hpp"
#include "follower/row_exchange.hpp"
#include "gateway/types/process_settings.hpp"
#include "gateway/types/prompt_mix_mode.hpp"
#include "kernel/secure_random_source.hpp"
#include "kernel/system_clock.hpp"
#include "kernel/thread_pool.hpp"
#include "observe/decision_log.hpp"
#include "platform/entry_decoder.hpp"
#include "platform/store_rows.hpp"
#include "room/types/room_switch.hpp"
#include "router/drain_sequence.hpp"
#include "wire/types/cluster_key.hpp"

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <filesystem>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace prometheus
{
class Registry;
}

namespace endiveward::enginelink
{
class agent_links;
}

namespace endiveward::follower
{
class cluster_view;
class table_follower;
} // namespace endiveward::follower

namespace endiveward::gateway
{
class gateway;
struct gateway_settings;
} // namespace endiveward::gateway

namespace endiveward::observe
{
class operator_server;
}

namespace endiveward::wire
{
struct origin_query;
}

namespace endiveward::app
{

class version_recorder;

/// A router on the users' platform: follows the store on the control thread
/// and serves callers on the traffic thread.
class gateway_process : public follower::i_cluster_observer,
                        public enginelink::i_engine_listener
{
public:
    gateway_process(gateway::process_settings settings, std::string path,
                    wire::cluster_key key, room::room_switch room,
                    gateway::prompt_mix_mode prompt_mix);
    ~gateway_process() override;
    gateway_process(gateway_process const&) = delete;
    gateway_process& operator=(gateway_process const&) = delete;

    /// Serves until a signal to stop has been carried out; gives the exit code.
    int run();

private:
    void on_configuration(
        std::shared_ptr<gateway::routing_table const> table) override;
    void on_endpoints(
        std::vector<gateway::endpoint_entry> const& endpoints) override;
    void on_target(weights::model_target const& target,
                   storage::table_row const& row,
                   std::optional<kernel::steady_time> announced_at) override;

    void on_engine_state(kernel::endpoint_id const& endpoint,
                         wire::engine_state const& state) override;
    void on_cache_change(kernel::endpoint_id const& endpoint,
                         wire::cache_change const& change) override;
    void on_part_report(wire::part_report const& report) override;
    void on_limit_report(wire::limit_report const& report) override;
    void on_fact_report(wire::fact_report const& report) override;
    void on_origin_answer(wire::origin_answer const& answer) override;
    void on_link_lost(kernel::endpoint_id const& endpoint) override;

    bool listen();
    void start_recorder();
    void update_readiness();
    void start_followers();
    void wait_for_signal();
    void on_signal(int number);
    void perform(router::drain_sequence::step next);
    void tick();
    void pass_on_report(std::function<void()> handler);
    void ask_for_origin(wire::origin_query const& query);
    /// Asks agents for what the store does not tell.
    void ask_agents();
    /// Notes whether this process may have missed what other routers tell.
    void check_contact();
    void reload();
    /// The settings file may change without a signal.
    void reload_if_changed();
    void end_requests_at(kernel::steady_time at);
    void end();
    gateway::gateway_settings traffic_settings() const;

    gateway::process_settings settings_;
    std::string path_;
    room::room_switch room_;
    gateway::prompt_mix_mode prompt_mix_;
    kernel::system_clock clock_;
    kernel::secure_random_source random_;
    asio::io_context control_{1};
    asio::signal_set signals_;
    asio::steady_timer timer_;
    std::shared_ptr<prometheus::Registry> metrics_;
    observe::decision_log control_log_;
    observe::decision_log traffic_log_;
    kernel::thread_pool traffic_;
    platform::store_rows store_;
    platform::entry_decoder decoder_;
    std::unique_ptr<follower::cluster_view> view_;
    std::shared_ptr<follower::table_follower> operators_;
    std::shared_ptr<follower::table_follower> endpoints_;
    std::unique_ptr<gateway::gateway> gateway_;
    follower::row_exchange row_exchange_;
    std::unique_ptr<enginelink::agent_links> links_;
    std::unique_ptr<version_recorder> recorder_;
    /// Reports that have not been passed on to the traffic thread.
    std::vector<std::function<void()>> reports_;
    std::unique_ptr<observe::operator_server> ready_server_;
    std::unique_ptr<observe::operator_server> metrics_server_;
    router::drain_sequence drain_;
    std::atomic<bool> ready_{false};
    std::atomic<std::size_t> connections_{0};
    /// When requests that are still in progress are answered.
    kernel::steady_time stop_at_ = kernel::steady_time::max();
    kernel::steady_time asked_at_{};
    /// When this process last looked whether it hears of the other routers.
    kernel::steady_time checked_at_{};
    /// When an agent last reported.
    kernel::steady_time heard_at_{};
    kernel::steady_time looked_at_{};
    std::filesystem::file_time_type file_time_{};
    int exit_code_ = 0;
};

} // namespace endiveward::app

#endif
