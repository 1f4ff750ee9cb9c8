#include "gateway/limit_watch.hpp"

#include "availability/limit_notice_reader.hpp"
#include "gateway/endpoint_directory.hpp"
#include "gateway/endpoint_key.hpp"
#include "kernel/types/result.hpp"
#include "observe/decision_log.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace endiveward::gateway
{

namespace
{

/// Requests that are sent together are reported together.
constexpr std::chrono::milliseconds news_delay{5};
/// A request is reported through several agents, all within this time.
constexpr std::chrono::seconds counted_retention{5};
/// Agents of engines with traffic report several times a second.
constexpr std::chrono::milliseconds max_agent_silence{1500};

} // namespace

limit_watch::limit_watch(asio::io_context& context,
                         kernel::i_clock const& clock,
                         endpoint_directory& endpoints,
                         observe::decision_log& log, std::uint64_t seed)
    : clock_(clock)
    , endpoints_(endpoints)
    , log_(log)
    , seed_(seed)
    , timer_(context)
{
}

void limit_watch::set_news_handler(news_handler handler)
{
    on_news_ = std::move(handler);
}

void limit_watch::on_sent(endpoint_record& endpoint)
{
    if (!endpoint.limit().rate())
        return;
    auto const now = clock_.now();
    endpoint.limit().on_sent(now);
    // The time tells requests apart from those before a restart.
    std::array const id{
        seed_, ++sent_,
        static_cast<std::uint64_t>(now.time_since_epoch().count())};
    auto const key = XXH3_64bits(id.data(), sizeof(id));
    remember(key);
    news_.requests.push_back({endpoint_key(endpoint.entry()), key});
    plan_news();
}

void limit_watch::on_response(endpoint_record& endpoint,
                              kernel::steady_time sent, std::string_view field,
                              std::optional<std::string_view> value)
{
    auto const now = clock_.now();
    auto& limit = endpoint.limit();
    std::visit(
        kernel::overloaded{
            [&](availability::no_limit)
            {
                if (!limit.on_not_named(sent, now))
                    return;
                log_change(endpoint, "answer", true);
                news_.changes.push_back(
                    {endpoint_key(endpoint.entry()), 0, true});
                plan_news();
            },
            [&](availability::unreadable_limit)
            {
                log_.write("endpoint_field_ignored",
                           "endpoint={} field={} value=\"{}\"",
                           endpoint.entry().id.str(), field, *value);
            },
            [&](availability::named_limit const& named)
            {
                limit.set_share(share_, now);
                if (!limit.on_named(named.requests_per_second, now))
                    return;
                log_change(endpoint, "answer", false);
                news_.changes.push_back({endpoint_key(endpoint.entry()),
                                         named.requests_per_second, false});
                plan_news();
            }},
        availability::read_limit_notice(value));
}

void limit_watch::on_agent_report(endpoint_record& endpoint,
                                  std::optional<double> per_second)
{
    auto const now = clock_.now();
    last_agent_report_ = now;
    endpoint.limit().set_share(share_, now);
    if (endpoint.limit().on_agent_report(per_second, now))
        log_change(endpoint, "agent", !per_second);
}

void limit_watch::on_report(wire::limit_report const& report)
{
    auto const now = clock_.now();
    // Most reports have arrived through another agent before.
    std::vector<wire::limited_request> requests;
    for (auto const& it : report.requests)
    {
        if (remember(it.request))
            requests.push_back(it);
    }
    if (requests.empty() && report.changes.empty())
        return;
    std::unordered_map<std::uint64_t, endpoint_record*> by_key;
    endpoints_.for_each([&](endpoint_record& it, upstream_pool&)
                        { by_key.emplace(endpoint_key(it.entry()), &it); });
    auto const find = [&](std::uint64_t key)
    {
        auto const found = by_key.find(key);
        return found == by_key.end() ? nullptr : found->second;
    };
    for (auto const& it : report.changes)
    {
        auto* const endpoint = find(it.endpoint);
        if (endpoint == nullptr)
            continue;
        auto& limit = endpoint->limit();
        limit.set_share(share_, now);
        if (it.ended ? limit.on_end_reported(now)
                     : limit.on_reported(it.rate, now))
            log_change(*endpoint, "report", it.ended);
    }
    for (auto const& it : requests)
    {
        if (auto* const endpoint = find(it.endpoint))
            endpoint->limit().on_sent(now);
    }
}

void limit_watch::set_processes(std::size_t processes, bool linked)
{
    processes_ = std::max<std::size_t>(processes, 1);
    linked_ = linked;
    update_share();
}

/// A link may be silent for seconds before it is noticed to be broken. The
/// other processes then send what this one does not hear of.
void limit_watch::update_share()
{
    auto const now = clock_.now();
    auto const connected =
        linked_ && now - last_agent_report_ <= max_agent_silence;
    auto const share = connected ? 1 : 1 / static_cast<double>(processes_);
    if (std::exchange(share_, share) == share)
        return;
    log_.write("limit_share", "share={:.4f} processes={} connected={}", share,
               processes_, connected);
    endpoints_.for_each([&](endpoint_record& it, upstream_pool&)
                        { it.limit().set_share(share, now); });
}

void limit_watch::log_change(endpoint_record const& endpoint,
                             std::string_view source, bool ended) const
{
    log_.write("endpoint_limit", "endpoint={} source={} ended={} per_second={}",
               endpoint.entry().id.str(), source, ended,
               endpoint.limit().rate().value_or(0));
}

bool limit_watch::remember(std::uint64_t request)
{
    auto const now = clock_.now();
    while (!counted_.empty() && now - counted_.front().at > counted_retention)
    {
        counted_keys_.erase(counted_.front().request);
        counted_.pop_front();
    }
    if (!counted_keys_.insert(request).second)
        return false;
    counted_.push_back({now, request});
    return true;
}

void limit_watch::plan_news()
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
            auto news = std::exchange(news_, {});
            if (on_news_ && !news.empty())
                on_news_(std::move(news));
        });
}

} // namespace endiveward::gateway
