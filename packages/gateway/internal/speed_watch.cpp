#include "gateway/speed_watch.hpp"

#include "gateway/endpoint_directory.hpp"
#include "gateway/endpoint_key.hpp"
#include "gateway/fact_exchange.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/types/sent_request.hpp"
#include "kernel/types/result.hpp"
#include "observe/decision_log.hpp"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace endiveward::gateway
{

namespace
{

/// A factor is shared no more often than this. It changes slowly and counts for
/// some seconds.
constexpr std::chrono::milliseconds share_interval{2000};
/// Factors that all processes together share in a second, so that their number
/// does not grow with processes times endpoints. Agents pass each on to all
/// routers.
constexpr std::size_t max_shared_per_second = 100;
/// An endpoint with an unreadable figure repeats it with each answer.
constexpr std::chrono::milliseconds ignored_log_interval{1000};

} // namespace

speed_watch::speed_watch(kernel::i_clock const& clock,
                         endpoint_directory& endpoints, fact_exchange& facts,
                         gateway_metrics& metrics, observe::decision_log& log)
    : clock_(clock)
    , endpoints_(endpoints)
    , facts_(facts)
    , metrics_(metrics)
    , log_(log)
{
    facts_.set_handler(wire::fact_kind::endpoint_speed,
                       [this](wire::fact const& it) { on_fact(it); });
}

void speed_watch::on_figure(endpoint_record& endpoint,
                            reported_work_figure const& figure,
                            std::string_view field, std::string_view text)
{
    std::visit(
        kernel::overloaded{
            [](no_work_figure) {},
            [&](unreadable_work_figure) { ignore(endpoint, field, text); },
            [&](work_figure const& it)
            {
                enable(endpoint.entry().service, "answer");
                endpoint.speed().on_figure(it.factor, clock_.now());
            }},
        figure);
}

void speed_watch::ignore(endpoint_record const& endpoint,
                         std::string_view field, std::string_view text)
{
    metrics_.on_work_figure_ignored();
    auto const now = clock_.now();
    if (now < next_ignored_log_)
        return;
    next_ignored_log_ = now + ignored_log_interval;
    log_.write("endpoint_field_ignored", "endpoint={} field={} value=\"{}\"",
               endpoint.entry().id.str(), field, text);
}

void speed_watch::on_first_output(sent_request const& request)
{
    auto& endpoint = *request.endpoint;
    if (endpoint.generation() != request.generation)
        return;
    auto const now = clock_.now();
    if (!endpoint.speed().on_answer(request.work, now - request.at, now))
        return;
    metrics_.on_speed_sample();
    share(endpoint);
}

void speed_watch::share(endpoint_record const& endpoint)
{
    auto const now = clock_.now();
    auto const key = endpoint_key(endpoint.entry());
    auto const found = by_key_.find(key);
    auto const factor = endpoint.speed().own_factor();
    if (!factor || found == by_key_.end() || now < next_share_ ||
        now - found->second.shared_at < share_interval)
        return;
    found->second.shared_at = now;
    next_share_ = now + std::chrono::microseconds(std::chrono::seconds(1)) *
                            processes_ / max_shared_per_second;
    facts_.state(wire::fact_kind::endpoint_speed, key, facts_.source(),
                 *factor);
}

void speed_watch::on_fact(wire::fact const& fact)
{
    auto const found = by_key_.find(fact.key);
    if (found == by_key_.end() || fact.source == facts_.source())
        return;
    auto& endpoint = *found->second.record;
    enable(endpoint.entry().service, "process");
    endpoint.speed().on_shared(fact.source, fact.value,
                               clock_.now() - fact.age);
}

/// `source` tells who said that an endpoint of the service names a figure.
void speed_watch::enable(kernel::service_id const& service,
                         std::string_view source)
{
    if (!means_.try_emplace(service, 1).second)
        return;
    log_.write("endpoint_speed_enabled", "service={} source={}", service.str(),
               source);
    on_endpoints();
}

void speed_watch::on_endpoints()
{
    auto const now = clock_.now();
    auto const before = std::exchange(by_key_, {});
    endpoints_.for_each(
        [&](endpoint_record& it, upstream_pool&)
        {
            auto const key = endpoint_key(it.entry());
            auto const found = before.find(key);
            by_key_[key] = {&it, found == before.end()
                                     ? kernel::steady_time()
                                     : found->second.shared_at};
            auto const mean = means_.find(it.entry().service);
            if (mean == means_.end() || it.speed().enabled())
                return;
            it.speed().enable();
            it.speed().refresh(mean->second, now);
        });
}

void speed_watch::update(std::size_t processes)
{
    processes_ = std::max<std::size_t>(processes, 1);
    auto const now = clock_.now();
    for (auto& [service, mean] : means_)
    {
        auto const& records = endpoints_.of_service(service);
        double sum = 0;
        std::size_t n = 0;
        auto slowest = endpoint_speed::max_factor;
        auto fastest = endpoint_speed::min_factor;
        for (auto const& it : records)
        {
            if (!it->speed().has_samples(now))
                continue;
            auto const factor = it->speed().learned(now);
            sum += std::log(factor);
            ++n;
            slowest = std::min(slowest, factor);
            fastest = std::max(fastest, factor);
        }
        // Without samples the last mean stays valid.
        if (n > 0)
        {
            mean = std::exp(sum / static_cast<double>(n));
            metrics_.set_speeds(service.str(), slowest, mean, fastest);
        }
        for (auto const& it : records)
        {
            if (it->speed().refresh(mean, now))
                log_.write("endpoint_speed",
                           "endpoint={} learned={:.2f} mean={:.2f} "
                           "home_weight={:.2f}",
                           it->entry().id.str(), it->speed().learned(now), mean,
                           it->speed().home_weight());
        }
    }
}

} // namespace endiveward::gateway
