#include "router/crash_watch.hpp"

#include "router/types/call_request.hpp"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <xxhash.h>

#include <string_view>
#include <utility>

namespace endiveward::router
{

namespace
{

using availability::request_keys;

/// Calls that end at the same endpoint within this time have seen the same
/// crash of it.
constexpr std::chrono::seconds same_crash{1};

log4cplus::Logger logger()
{
    return log4cplus::Logger::getInstance(
        LOG4CPLUS_TEXT("endiveward.router.crashes"));
}

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

crash_watch::crash_watch(std::shared_ptr<kernel::i_clock const> clock,
                         std::uint64_t seed)
    : clock_(std::move(clock))
    , quarantine_({}, seed)
{
}

void crash_watch::set_news_handler(news_handler handler)
{
    on_news_ = std::move(handler);
}

void crash_watch::on_crash(std::string const& request_id,
                           kernel::endpoint_id const& endpoint,
                           kernel::incarnation incarnation, request_key key)
{
    {
        std::lock_guard const lock(mutex_);
        auto const now = clock_->now();
        auto const crash = crash_key(endpoint, incarnation, now);
        for (auto const& it :
             quarantine_.on_crash(crash, request_keys({}, key), now))
            LOG4CPLUS_WARN(logger(),
                           "call suspected of a crash: id="
                               << request_id << " endpoint=" << endpoint.str()
                               << " call=" << it.part
                               << " crashes=" << it.crashes
                               << " quarantine_ms=" << it.quarantine.count());
    }
    send_news();
}

bool crash_watch::on_sent(std::string const& request_id, request_key key)
{
    {
        std::lock_guard const lock(mutex_);
        if (!quarantine_.on_sent(request_keys({}, key), clock_->now()))
            return false;
    }
    LOG4CPLUS_INFO(logger(), "call tried after its quarantine: id="
                                 << request_id << " call=" << key);
    send_news();
    return true;
}

void crash_watch::on_served(request_key key)
{
    {
        std::lock_guard const lock(mutex_);
        if (quarantine_.on_served(request_keys({}, key), clock_->now()) == 0)
            return;
    }
    LOG4CPLUS_INFO(
        logger(),
        "call no longer suspected, since it was answered: call=" << key);
    send_news();
}

void crash_watch::on_report(wire::part_report const& report)
{
    {
        std::lock_guard const lock(mutex_);
        quarantine_.on_report(report, clock_->now());
    }
    send_news();
}

std::optional<kernel::steady_time>
crash_watch::quarantined_until(request_key key) const
{
    std::lock_guard const lock(mutex_);
    return quarantine_.quarantined_until(request_keys({}, key), clock_->now());
}

std::uint64_t crash_watch::crash_key(kernel::endpoint_id const& endpoint,
                                     kernel::incarnation incarnation,
                                     kernel::steady_time now)
{
    if (incarnation != 0)
        return hash_of(endpoint.str(), incarnation);
    auto& ended_at = ended_at_.try_emplace(endpoint, now).first->second;
    if (now - ended_at > same_crash)
        ended_at = now;
    return hash_of(endpoint.str(), static_cast<std::uint64_t>(
                                       ended_at.time_since_epoch().count()));
}

void crash_watch::send_news()
{
    wire::part_report news;
    {
        std::lock_guard const lock(mutex_);
        news = quarantine_.take_news();
    }
    if (on_news_ && !news.empty())
        on_news_(news);
}

crash_watch::request_key make_request_key(call_request const& request)
{
    std::uint64_t res = 0;
    for (std::string_view const it :
         {std::string_view(request.workspace.str()),
          std::string_view(request.model.str()),
          std::string_view(request.service.str()),
          std::string_view(request.method), std::string_view(request.path),
          std::string_view(request.body)})
        res = hash_of(it, res);
    return res;
}

} // namespace endiveward::router
