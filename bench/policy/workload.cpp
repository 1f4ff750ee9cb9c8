#include "policy/workload.hpp"

#include <toml++/toml.h>

#include <stdexcept>

namespace endiveward::bench
{

namespace
{

template <typename T>
void read(toml::table const& table, char const* key, T& out)
{
    if (auto const found = table[key].value<T>())
        out = *found;
}

void read_size(toml::table const& table, char const* key, std::size_t& out)
{
    if (auto const found = table[key].value<std::int64_t>())
        out = static_cast<std::size_t>(*found);
}

template <typename Duration>
void read_ms(toml::table const& table, char const* key, Duration& out)
{
    if (auto const found = table[key].value<double>())
        out = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(*found));
}

void read_s(toml::table const& table, char const* key, sim_time& out)
{
    if (auto const found = table[key].value<double>())
        out = std::chrono::duration_cast<sim_time>(
            std::chrono::duration<double>(*found));
}

request_kind read_kind(toml::table const& table)
{
    request_kind kind;
    read(table, "share", kind.share);
    read_size(table, "levels", kind.levels);
    read(table, "tail_bytes", kind.tail_bytes);
    read(table, "output_tokens", kind.output_tokens);
    read_ms(table, "deadline_ms", kind.deadline);
    read(table, "priority", kind.priority);
    return kind;
}

void read_deployment(toml::table const& table, workload& load)
{
    read(table, "name", load.name);
    read_size(table, "zones", load.zones);
    read_size(table, "workers", load.workers);
    read_size(table, "slots", load.slots);
    read_size(table, "max_queue", load.max_queue);
    read_size(table, "cache_blocks", load.cache_blocks);
    read(table, "prefill_bytes_per_second", load.prefill_bytes_per_second);
    read_ms(table, "token_time_ms", load.token_time);
    read_ms(table, "restart_time_ms", load.restart_time);
    read_size(table, "routers", load.routers);
    read_ms(table, "network_latency_ms", load.network_latency);
    read_ms(table, "load_report_lag_ms", load.load_report_lag);
    read(table, "recompute_weight", load.recompute_weight);
    read_size(table, "candidates", load.candidates);
}

void read_traffic(toml::table const& table, workload& load)
{
    read(table, "rate_per_s", load.rate_per_s);
    read_s(table, "duration_s", load.duration);
    read_s(table, "warm_up_s", load.warm_up);
    read_size(table, "policy_blocks", load.policy_blocks);
    read_size(table, "engagements", load.engagements);
    read_size(table, "engagement_blocks", load.engagement_blocks);
    read_size(table, "active_files", load.active_files);
    read_size(table, "file_blocks", load.file_blocks);
    read(table, "uses_per_file", load.uses_per_file);
    read(table, "hot_share", load.hot_share);
    read_s(table, "hot_shift_s", load.hot_shift);
    read_s(table, "crash_interval_s", load.crash_interval);
    read_s(table, "herd_restart_at_s", load.herd_restart_at);
    read_s(table, "zone_loss_at_s", load.zone_loss_at);
    double rate_factor = 1.0;
    read(table, "rate_factor", rate_factor);
    load.rate_per_s *= rate_factor;
}

void read_lists(toml::table const& table, workload& load)
{
    if (auto const* shares = table["workspace_shares"].as_array())
        for (auto const& it : *shares)
            load.workspace_shares.push_back(it.value_or(1.0));
    if (auto const* kinds = table["kind"].as_array())
        for (auto const& it : *kinds)
            load.kinds.push_back(read_kind(*it.as_table()));
}

} // namespace

workload load_workload(std::string const& path, std::string const& scenario)
{
    toml::table const table = toml::parse_file(path);
    workload load;
    read_deployment(table, load);
    read_traffic(table, load);
    read_lists(table, load);
    auto const* overrides = table["scenario"][scenario].as_table();
    if (overrides == nullptr)
        throw std::runtime_error("add [scenario." + scenario + "] to " + path);
    read_deployment(*overrides, load);
    read_traffic(*overrides, load);
    return load;
}

std::vector<std::string> scenario_names(std::string const& path)
{
    toml::table const table = toml::parse_file(path);
    std::vector<std::string> names;
    if (auto const* scenarios = table["scenario"].as_table())
        for (auto const& [key, value] : *scenarios)
            names.emplace_back(key);
    return names;
}

} // namespace endiveward::bench
