#include "router/router_metrics.hpp"

#include <catch2/catch.hpp>
#include <prometheus/registry.h>

#include <optional>

namespace endiveward::router
{

namespace
{

/// Returns the value of a counter or gauge without labels, or nothing if it is
/// absent.
std::optional<double> value_of(prometheus::Registry const& registry,
                               std::string const& name)
{
    for (auto const& family : registry.Collect())
    {
        if (family.name != name || family.metric.empty())
            continue;
        auto const& it = family.metric.front();
        return family.type == prometheus::MetricType::Counter ? it.counter.value
                                                              : it.gauge.value;
    }
    return std::nullopt;
}

} // namespace

// Guards against an outage of the store that operators cannot see, and
// against one that is reported although no store is configured.
TEST_CASE("the store's state is a metric once it is known")
{
    auto const registry = std::make_shared<prometheus::Registry>();
    router_metrics metrics(registry);
    CHECK_FALSE(value_of(*registry, "endiveward_store_up"));
    metrics.set_store_up(true);
    CHECK(value_of(*registry, "endiveward_store_up") == 1.0);
    metrics.set_store_up(false);
    CHECK(value_of(*registry, "endiveward_store_up") == 0.0);
}

// Guards against a router that stays on an old version, or pushes no updates,
// without the operators noticing.
TEST_CASE("the version in force and the updates sent are metrics")
{
    auto const registry = std::make_shared<prometheus::Registry>();
    router_metrics metrics(registry);
    metrics.set_config_version(17);
    metrics.on_config_update_sent();
    metrics.on_config_update_sent();
    CHECK(value_of(*registry, "endiveward_config_version") == 17.0);
    CHECK(value_of(*registry, "endiveward_config_updates_sent_total") == 2.0);
}

} // namespace endiveward::router
