#include "gateway/part_watch.hpp"

#include "gateway/endpoint_key.hpp"
#include "gateway/gateway_metrics.hpp"
#include "observe/decision_log.hpp"

#include <fmt/format.h>

#include <utility>

namespace endiveward::gateway
{

namespace
{

/// The requests that a crash has ended are reported together.
constexpr std::chrono::milliseconds news_delay{20};

} // namespace

part_watch::part_watch(asio::io_context& context, kernel::i_clock const& clock,
                       gateway_metrics& metrics, observe::decision_log& log,
                       std::uint64_t seed)
    : clock_(clock)
    , metrics_(metrics)
    , log_(log)
    , quarantine_({}, seed)
    , timer_(context)
{
}

void part_watch::set_news_handler(news_handler handler)
{
    on_news_ = std::move(handler);
}

void part_watch::on_crash(std::string const& request_id,
                          endpoint_entry const& endpoint,
                          request_keys const& keys)
{
    log(quarantine_.on_crash(endpoint_key(endpoint), keys, clock_.now()),
        fmt::format("id={} endpoint={}", request_id, endpoint.id.str()));
    plan_news();
}

void part_watch::on_abandoned(std::string const& request_id,
                              endpoint_entry const& endpoint,
                              request_keys const& keys)
{
    log(quarantine_.on_abandoned(endpoint_key(endpoint), keys, clock_.now()),
        fmt::format("id={} endpoint={} given_up=true", request_id,
                    endpoint.id.str()));
    plan_news();
}

void part_watch::on_unreachable(endpoint_entry const& endpoint)
{
    log(quarantine_.on_unreachable(endpoint_key(endpoint), clock_.now()),
        fmt::format("endpoint={} given_up=true", endpoint.id.str()));
    plan_news();
}

bool part_watch::on_sent(std::string const& request_id,
                         request_keys const& keys)
{
    if (!quarantine_.on_sent(keys, clock_.now()))
        return false;
    log_.write("part_tried", "id={} suspected={}", request_id,
               quarantine_.suspects());
    plan_news();
    return true;
}

void part_watch::on_served(request_keys const& keys)
{
    auto const cleared = quarantine_.on_served(keys, clock_.now());
    if (cleared == 0)
        return;
    log_.write("parts_cleared", "reason=served parts={} suspected={}", cleared,
               quarantine_.suspects());
    plan_news();
}

void part_watch::on_endpoint_active(endpoint_entry const& endpoint)
{
    auto const now = clock_.now();
    if (!quarantine_.has_open_crashes(now) ||
        !quarantine_.on_endpoint_active(endpoint_key(endpoint), now))
        return;
    log_.write("parts_cleared", "reason=no_crash endpoint={} suspected={}",
               endpoint.id.str(), quarantine_.suspects());
    plan_news();
}

void part_watch::on_report(wire::part_report const& report)
{
    auto const before = quarantine_.suspects();
    log(quarantine_.on_report(report, clock_.now()), "source=report");
    if (quarantine_.suspects() < before)
        log_.write("parts_cleared", "reason=report parts={} suspected={}",
                   before - quarantine_.suspects(), quarantine_.suspects());
    plan_news();
}

std::optional<kernel::steady_time>
part_watch::quarantined_until(request_keys const& keys) const
{
    return quarantine_.quarantined_until(keys, clock_.now());
}

void part_watch::log(
    std::vector<availability::part_quarantine::suspicion> const& added,
    std::string const& source)
{
    for (auto const& it : added)
    {
        log_.write(it.whole_request ? "request_suspected" : "part_suspected",
                   "{} {}={:x} crashes={} quarantine_ms={}", source,
                   it.whole_request ? "request" : "part", it.part, it.crashes,
                   it.quarantine.count());
        if (it.quarantine.count() == 0)
            continue;
        if (it.whole_request)
            metrics_.on_request_quarantined();
        else
            metrics_.on_part_quarantined();
    }
}

void part_watch::plan_news()
{
    if (std::exchange(news_planned_, true))
        return;
    timer_.expires_after(news_delay);
    timer_.async_wait(
        [this](std::error_code ec)
        {
            if (ec)
                return;
            news_planned_ = false;
            auto news = quarantine_.take_news();
            if (on_news_ && !news.empty())
                on_news_(std::move(news));
        });
}

} // namespace endiveward::gateway
