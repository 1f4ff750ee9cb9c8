#include "config/settings_loader.hpp"

#include "config/internal/settings_reader.hpp"
#include "config/types/agent_settings.hpp"
#include "config/types/router_settings.hpp"

#include <fmt/format.h>

#include <array>
#include <functional>
#include <limits>

namespace endiveward::config
{

namespace
{

using need = settings_reader::need;

constexpr std::int64_t hour_ms = 3'600'000;

template <typename Tag>
void read_id(settings_reader& reader, std::string_view table,
             std::string_view key, need presence, kernel::identifier<Tag>& out)
{
    std::string text;
    reader.text(table, key, presence, text);
    out = kernel::identifier<Tag>(text);
}

template <typename T>
void read_count(settings_reader& reader, std::string_view table,
                std::string_view key, std::int64_t min_value,
                std::int64_t max_value, T& out)
{
    auto number = static_cast<std::int64_t>(out);
    reader.integer(table, key, min_value, max_value, number);
    out = static_cast<T>(number);
}

void read_common(settings_reader& reader, common_settings& out)
{
    read_id(reader, "process", "name", need::required, out.name);
    read_id(reader, "process", "region", need::required, out.region);
    read_id(reader, "process", "zone", need::required, out.zone);
    reader.address("listen", "peers", out.listen_peers);
    reader.address("listen", "operators", out.listen_operators);
    reader.secret("cluster", "key", wire::cluster_key::min_bytes,
                  out.cluster_key.bytes);
    reader.secret("operators", "token", 16, out.operator_token);
    reader.url("platform", "table_url", need::optional, out.table_url);
    reader.url("platform", "object_store_url", need::optional,
               out.object_store_url);
    reader.url("platform", "vm_list_url", need::optional, out.vm_list_url);
    reader.milliseconds("platform", "platform_timeout_ms", 10, 60'000,
                        out.platform_timeout);
    reader.addresses("members", "seeds", out.seeds);
    constexpr std::array levels{"trace", "debug", "info", "warn", "error"};
    if (auto const it = reader.choice(
            "log", "log_level",
            {levels[0], levels[1], levels[2], levels[3], levels[4]}))
        out.log_level = levels.at(*it);
    if (auto const it = reader.choice("log", "format", {"text", "json"}))
        out.format = static_cast<log_format>(*it);
    read_count(reader, "threads", "traffic_threads", 1, 256,
               out.traffic_threads);
}

void read_limits(settings_reader& reader, router_settings& out)
{
    constexpr std::size_t memory_per_byte = 3;
    read_count(reader, "limits", "max_body_bytes", 1024, 15LL << 20,
               out.max_body_bytes);
    read_count(reader, "limits", "max_header_bytes", 1024, 1LL << 20,
               out.max_header_bytes);
    read_count(reader, "limits", "max_answer_bytes", 1024, 1LL << 30,
               out.max_answer_bytes);
    read_count(reader, "limits", "max_connections", 1, 1'000'000,
               out.max_connections);
    read_count(reader, "limits", "max_request_memory", 1024, 1LL << 40,
               out.max_request_memory);
    if (out.max_request_memory / memory_per_byte <
        out.max_body_bytes + out.max_header_bytes)
        reader.fail("limits", "max_request_memory",
                    "must be at least three times max_body_bytes and "
                    "max_header_bytes; raise it");
    reader.milliseconds("limits", "read_timeout_ms", 10, hour_ms,
                        out.read_timeout);
    // A drain waits for the last call, so deadlines are limited to 10 min.
    reader.milliseconds("limits", "default_deadline_ms", 1, 600'000,
                        out.default_deadline);
    reader.milliseconds("limits", "max_deadline_ms", 1, 600'000,
                        out.max_deadline);
    reader.milliseconds("limits", "verdict_timeout_ms", 1, 60'000,
                        out.verdict_timeout);
    if (out.default_deadline > out.max_deadline)
        reader.fail("limits", "default_deadline_ms",
                    "must not exceed max_deadline_ms; lower it");
}

void read_router(settings_reader& reader, router_settings& out)
{
    read_common(reader, out.common);
    reader.address("listen", "callers", out.listen_callers);
    reader.real("placement", "recompute_weight", 0, 1000, out.recompute_weight);
    read_count(reader, "placement", "candidates", 1, 1000, out.candidates);
    read_count(reader, "placement", "prefill_bytes_per_second", 1,
               std::numeric_limits<std::int64_t>::max(),
               out.prefill_bytes_per_second);
    read_limits(reader, out);
    reader.real("retry", "retry_share", 0, 1, out.retry_share);
    reader.real("retry", "retry_burst", 0, 10'000, out.retry_burst);
    read_count(reader, "retry", "max_attempts", 1, 10, out.max_attempts);
    if (auto const it =
            reader.choice("config", "when_isolated", {"serve", "refuse"}))
        out.when_isolated = static_cast<isolation_policy>(*it);
    reader.milliseconds("config", "store_poll_interval_ms", 10, hour_ms,
                        out.store_poll_interval);
    reader.milliseconds("config", "vm_poll_interval_ms", 10, hour_ms,
                        out.vm_poll_interval);
    reader.milliseconds("shutdown", "shutdown_notice_ms", 0, hour_ms,
                        out.shutdown_notice);
}

void read_agent(settings_reader& reader, agent_settings& out)
{
    read_common(reader, out.common);
    read_id(reader, "endpoint", "endpoint", need::required, out.endpoint);
    if (auto const it =
            reader.choice("endpoint", "kind", {"engine", "service"}))
        out.kind = static_cast<endpoint_kind>(*it);
    read_id(reader, "endpoint", "service", need::optional, out.service);
    if ((out.kind == endpoint_kind::service) == out.service.empty())
        reader.fail("endpoint", "service",
                    "must be set if and only if kind is \"service\"");
    reader.url("endpoint", "endpoint_url", need::required, out.endpoint_url);
    if (auto const it =
            reader.choice("endpoint", "fencing", {"checked", "unchecked"}))
        out.fencing = static_cast<fencing_support>(*it);
    read_count(reader, "endpoint", "capacity", 1, 100'000, out.capacity);
    read_count(reader, "endpoint", "max_queue", 0, 1'000'000, out.max_queue);
    read_count(reader, "endpoint", "max_cache_blocks", 0, 100'000'000,
               out.max_cache_blocks);
    read_count(reader, "limits", "max_call_memory", 1LL << 20, 1LL << 40,
               out.max_call_memory);
    auto hours = static_cast<std::int64_t>(out.claim_retention.count());
    reader.integer("store", "claim_retention_h", 1, 24LL * 365, hours);
    out.claim_retention = std::chrono::hours(hours);
}

template <typename T>
kernel::result<T> load(std::string const& path,
                       std::function<void(settings_reader&, T&)> const& read)
{
    auto const settings_error = [](std::string message)
    {
        return kernel::error{kernel::error_kind::invalid_settings,
                             std::move(message), kernel::run_state::not_run,
                             std::nullopt};
    };
    try
    {
        auto const root = toml::parse_file(path);
        settings_reader reader(path, root);
        T settings;
        read(reader, settings);
        reader.reject_unknown_keys();
        if (auto errors = reader.errors(); !errors.empty())
            return settings_error(std::move(errors));
        return settings;
    }
    catch (toml::parse_error const& ex)
    {
        return settings_error(
            fmt::format("{}:{}: {}; correct the TOML syntax or make the file "
                        "readable",
                        path, ex.source().begin.line, ex.description()));
    }
}

} // namespace

kernel::result<router_settings> load_router_settings(std::string const& path)
{
    return load<router_settings>(path, read_router);
}

kernel::result<agent_settings> load_agent_settings(std::string const& path)
{
    return load<agent_settings>(path, read_agent);
}

} // namespace endiveward::config
