#include "gateway/fact_exchange.hpp"

#include "facts/fact_relay.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace endiveward::gateway
{

namespace
{

constexpr std::chrono::milliseconds report_interval{100};
/// Values that are stated together are reported together. Others need the
/// first value as soon as possible.
constexpr std::chrono::milliseconds report_delay{5};

/// The time tells starts of the process apart.
std::uint64_t make_source(std::uint64_t seed, kernel::steady_time now)
{
    std::array const words{
        seed, static_cast<std::uint64_t>(now.time_since_epoch().count())};
    return XXH3_64bits(words.data(), sizeof(words));
}

} // namespace

fact_exchange::fact_exchange(asio::io_context& context,
                             kernel::i_clock const& clock, std::uint64_t seed)
    : clock_(clock)
    , source_(make_source(seed, clock.now()))
    , timer_(context)
{
}

void fact_exchange::set_report_handler(report_handler handler)
{
    on_report_ = std::move(handler);
}

void fact_exchange::set_handler(wire::fact_kind kind, fact_handler handler)
{
    handlers_[kind] = std::move(handler);
}

void fact_exchange::state(wire::fact_kind kind, std::uint64_t key,
                          std::uint64_t source, double value)
{
    auto const now = clock_.now();
    std::vector<wire::fact> const facts{
        {kind, key, source, value, ++last_revision_, {}}};
    // Its return through an agent is not news.
    known_.merge(facts, now);
    unreported_.merge(facts, now);
    plan_report();
}

void fact_exchange::on_report(wire::fact_report const& report)
{
    for (auto const& it : known_.merge(report.facts, clock_.now()))
    {
        auto const found = handlers_.find(it.kind);
        if (found != handlers_.end())
            found->second(it);
    }
}

void fact_exchange::plan_report()
{
    if (std::exchange(report_planned_, true))
        return;
    auto const now = clock_.now();
    auto const at = last_report_ ? std::max(now + report_delay,
                                            *last_report_ + report_interval)
                                 : now + report_delay;
    timer_.expires_after(at - now);
    timer_.async_wait(
        [this](std::error_code ec)
        {
            if (ec)
                return;
            report_planned_ = false;
            last_report_ = clock_.now();
            auto const facts = std::exchange(unreported_, facts::fact_table())
                                   .snapshot(clock_.now());
            if (!on_report_)
                return;
            for (auto& it : facts::to_reports(facts))
                on_report_(std::move(it));
        });
}

} // namespace endiveward::gateway
