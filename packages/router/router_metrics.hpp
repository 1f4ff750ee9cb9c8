#ifndef ENDIVEWARD_ROUTER_ROUTER_METRICS_HPP
#define ENDIVEWARD_ROUTER_ROUTER_METRICS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

namespace prometheus
{
class Registry;
}

namespace endiveward::wire
{
struct wire_counters;
}

namespace endiveward::router
{

/// The router's metrics. Safe for concurrent use.
class router_metrics
{
public:
    explicit router_metrics(std::shared_ptr<prometheus::Registry> registry);
    ~router_metrics();
    router_metrics(router_metrics const&) = delete;
    router_metrics& operator=(router_metrics const&) = delete;

    /// A completion ended; both sizes are bytes of its prompt.
    void on_prompt(std::uint64_t prompt_bytes, std::uint64_t cached_bytes);
    void on_first_chunk(std::chrono::nanoseconds since_arrival);
    /// A request ended; `code` is `ok`, an error code or `caller_left`.
    void on_response(std::string_view code);
    void on_retry();
    void on_resume();
    void on_dropped(std::size_t count);
    void set_open_agents(std::size_t count);
    void set_calls(std::size_t count);
    /// The metric is absent until this is called.
    void set_store_up(bool up);
    void set_config_version(std::uint64_t version);
    void on_config_update_sent();
    /// Updates the wire metrics to the totals of `counters`.
    void collect(wire::wire_counters const& counters);

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace endiveward::router

#endif
