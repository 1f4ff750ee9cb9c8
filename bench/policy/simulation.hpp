#ifndef ENDIVEWARD_BENCH_POLICY_SIMULATION_HPP
#define ENDIVEWARD_BENCH_POLICY_SIMULATION_HPP

#include "admission/admission_queue.hpp"
#include "kernel/manual_clock.hpp"
#include "placement/recent_levels.hpp"
#include "placement/retry_budget.hpp"
#include "placement/types/placement_request.hpp"
#include "policy/block_ledger.hpp"
#include "policy/engine_fake.hpp"
#include "policy/i_cluster_view.hpp"
#include "policy/policies.hpp"
#include "policy/run_result.hpp"
#include "policy/trace.hpp"
#include "wire/types/load_report.hpp"

#include <fmt/format.h>

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace endiveward::placement
{
struct placement_choice;
}

namespace endiveward::bench
{

/// Runs a trace through routers, agents and engines on fake time. Routers use
/// the real decision classes, agents the real admission queue.
class simulation : private i_cluster_view
{
public:
    simulation(workload const& load, trace const& input, policy_kind kind);
    ~simulation() override;

    run_result run();

private:
    struct call;
    struct event
    {
        sim_time at{};
        std::uint64_t number = 0;
        std::function<void()> action;

        bool operator<(event const& other) const
        {
            return std::tie(other.at, other.number) < std::tie(at, number);
        }
    };
    struct router
    {
        std::unique_ptr<placement::i_placement> policy;
        placement::retry_budget budget;
        std::uint64_t life = 0;
    };
    struct worker
    {
        kernel::endpoint_id id;
        std::size_t zone = 0;
        std::unique_ptr<engine_fake> engine;
        std::unique_ptr<admission::admission_queue> queue;
        placement::recent_levels recent;
        wire::load_report published;
        bool alive = true;
        bool lost = false;
        /// What the routers were told last.
        bool told_alive = true;
        wire::load_report told_load;
        sim_time told_at{};
        /// Calls queued or running, by attempt.
        std::unordered_map<std::uint64_t, std::shared_ptr<call>> calls;
        /// Blocks that those calls will have computed.
        std::unordered_map<std::uint64_t, int> pending;
    };

    bool alive(kernel::endpoint_id const& id) const override;
    std::chrono::milliseconds
    wait(kernel::endpoint_id const& id) const override;
    std::uint64_t hit_bytes(kernel::endpoint_id const& id) const override;
    double occupancy(kernel::endpoint_id const& id) const override;

    void at(sim_time time, std::function<void()> action);
    void after(sim_time delay, std::function<void()> action);
    sim_time now() const { return clock_->now().time_since_epoch(); }

    void add_workers();
    void start_routers();
    void schedule_trace();
    void schedule_failures();
    void publish_loads();
    void send_heartbeats();

    void arrive(std::shared_ptr<call> const& it);
    void dispatch(std::shared_ptr<call> const& it);
    void assume_verdict(std::shared_ptr<call> const& it);
    void deliver(std::shared_ptr<call> const& it);
    void refused(std::shared_ptr<call> const& it, kernel::error const& reason,
                 wire::load_report load);
    void retry(std::shared_ptr<call> const& it);
    void pump(worker& at);
    void start(worker& at, std::shared_ptr<call> const& it);
    void first_token(worker& at, std::shared_ptr<call> const& it);
    void complete(worker& at, std::shared_ptr<call> const& it);
    void expire(worker& at, std::shared_ptr<call> const& it);
    void leave(worker& at, std::shared_ptr<call> const& it);
    void fail_worker(worker& at, sim_time detection);
    void restart_worker(worker& at);
    void finished(std::shared_ptr<call> const& it,
                  std::optional<wire::load_report> load);
    void tell_routers(worker& at);

    wire::load_report report(worker& at) const;
    wire::load_report current_load(worker const& at) const;
    std::chrono::milliseconds service_time(worker const& at,
                                           request_spec const& spec) const;
    void trace_placement(call& it, placement::placement_choice const& choice);
    sim_time prefill_time(std::uint64_t bytes) const;
    void count_start(call& it, std::size_t cached);
    void end(call& it, std::size_t& counter);
    worker const& find(kernel::endpoint_id const& id) const;

    workload const& load_;
    trace const& input_;
    policy_kind kind_;
    std::shared_ptr<kernel::manual_clock> clock_;
    block_ledger ledger_;
    std::vector<worker> workers_;
    std::unordered_map<kernel::endpoint_id, std::size_t> worker_index_;
    std::shared_ptr<std::vector<kernel::endpoint_id> const> allowed_;
    std::vector<std::unique_ptr<router>> routers_;
    std::vector<std::shared_ptr<call>> all_calls_;
    std::priority_queue<event> events_;
    std::uint64_t next_event_ = 0;
    std::uint64_t next_attempt_ = 0;
    request_spec const* placing_ = nullptr;
    run_result result_;
};

} // namespace endiveward::bench

#endif
