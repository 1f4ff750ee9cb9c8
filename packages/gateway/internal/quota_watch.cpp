#include "gateway/quota_watch.hpp"

#include "gateway/fact_exchange.hpp"
#include "gateway/gateway_metrics.hpp"
#include "gateway/http/header_list.hpp"
#include "gateway/request_fields.hpp"
#include "gateway/routing_table.hpp"
#include "observe/decision_log.hpp"

#include <xxhash.h>

#include <utility>
#include <variant>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds tick_interval{100};
constexpr milliseconds log_interval{1000};
/// Workspaces with a line in each log interval.
constexpr std::size_t max_logged = 10;

quota::workspace_key key_of(workspace_entry const& it)
{
    return XXH3_64bits(it.id.str().data(), it.id.str().size());
}

} // namespace

quota_watch::quota_watch(asio::io_context& context,
                         kernel::i_clock const& clock, fact_exchange& facts,
                         gateway_metrics& metrics, observe::decision_log& log,
                         std::uint64_t router)
    : clock_(clock)
    , facts_(facts)
    , metrics_(metrics)
    , log_(log)
    , quotas_(router, facts.source(), clock.now())
    , timer_(context)
{
    for (auto const kind :
         {wire::fact_kind::workspace_use, wire::fact_kind::process_alive})
        facts_.set_handler(kind, [this](wire::fact const& it)
                           { quotas_.on_fact(it, clock_.now()); });
}

void quota_watch::apply(routing_table const& table)
{
    quota::limits_by_workspace limits;
    for (auto const& it : table.config().workspaces)
    {
        if (it.limit)
            limits.emplace(key_of(it), *it.limit);
    }
    quotas_.set_limits(std::move(limits), clock_.now());
    if (!quotas_.enabled())
        stop();
    else if (!std::exchange(is_ticking_, true))
        tick();
}

void quota_watch::set_processes(std::size_t n)
{
    quotas_.set_reported_routers(n);
}

void quota_watch::stop()
{
    is_ticking_ = false;
    timer_.cancel();
}

quota_ticket quota_watch::ticket_for(workspace_entry const* workspace,
                                     header_list const& headers,
                                     header_field_names const& names) const
{
    if (workspace == nullptr || !workspace->limit)
        return {};
    auto const& limit = *workspace->limit;
    quota_ticket res{workspace, key_of(*workspace), 1, {}};
    if (limit.in_tokens)
    {
        auto const tokens = parse_total_tokens(headers, names);
        res.cost =
            tokens ? static_cast<double>(*tokens) : limit.uncached_tokens;
    }
    return res;
}

std::optional<milliseconds> quota_watch::check(quota_ticket const& it)
{
    if (it.workspace == nullptr || it.charge)
        return std::nullopt;
    auto const decision = quotas_.admit(it.key, it.cost, clock_.now());
    auto const* const over = std::get_if<quota::over_limit>(&decision);
    if (over == nullptr)
        return std::nullopt;
    metrics_.on_over_limit();
    auto& entry = refused_[it.key];
    if (entry.requests++ == 0)
        entry.workspace = it.workspace->id.str();
    entry.cost += it.cost;
    return over->delay;
}

void quota_watch::on_sent(quota_ticket& it)
{
    if (it.workspace == nullptr || it.charge)
        return;
    it.charge = quotas_.on_sent(it.key, it.cost, clock_.now());
    metrics_.on_limited_use(it.cost);
}

void quota_watch::give_back(quota_ticket& it)
{
    if (auto const charge = std::exchange(it.charge, std::nullopt))
        quotas_.give_back(*charge, clock_.now());
}

void quota_watch::plan_tick()
{
    timer_.expires_after(tick_interval);
    timer_.async_wait(
        [this](std::error_code ec)
        {
            if (!ec && is_ticking_)
                tick();
        });
}

void quota_watch::tick()
{
    auto const now = clock_.now();
    for (auto const& it : quotas_.tick(now))
        facts_.state(it.kind, it.key, it.source, it.value);
    auto const& routers = quotas_.routers();
    auto const share = routers.share(now);
    if (std::exchange(share_, share) != share)
    {
        metrics_.set_limit_share(share);
        log_.write("quota_share", "share={:.4f} heard={} known={}", share,
                   routers.heard(now), routers.known(now));
    }
    if (now - last_log_ >= log_interval)
        log_refusals();
    plan_tick();
}

void quota_watch::log_refusals()
{
    auto const now = clock_.now();
    last_log_ = now;
    std::size_t n = 0;
    for (auto const& [key, it] : refused_)
    {
        if (++n > max_logged)
            break;
        log_.write("workspace_over_limit",
                   "workspace={} requests={} cost={:.0f} level={:.0f}",
                   it.workspace, it.requests, it.cost, quotas_.level(key, now));
    }
    if (refused_.size() > max_logged)
        log_.write("workspaces_over_limit", "workspaces={}", refused_.size());
    refused_.clear();
}

} // namespace endiveward::gateway
