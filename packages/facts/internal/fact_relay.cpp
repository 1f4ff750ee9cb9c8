#include "facts/fact_relay.hpp"

#include <algorithm>
#include <utility>

namespace endiveward::facts
{

bool fact_relay::on_report(wire::fact_report const& report,
                           kernel::steady_time now)
{
    auto const news = known_.merge(report.facts, now);
    pending_.merge(news, now);
    return !news.empty();
}

std::vector<wire::fact_report> fact_relay::take_pending(kernel::steady_time now)
{
    return to_reports(std::exchange(pending_, fact_table()).snapshot(now));
}

std::vector<wire::fact_report>
fact_relay::snapshot(kernel::steady_time now) const
{
    return to_reports(known_.snapshot(now));
}

std::vector<wire::fact_report> to_reports(std::vector<wire::fact> facts)
{
    std::vector<wire::fact_report> res;
    for (std::size_t n = 0; n < facts.size(); n += max_facts_per_report)
    {
        auto const end = std::min(facts.size(), n + max_facts_per_report);
        auto const first = facts.begin();
        res.push_back({{first + static_cast<std::ptrdiff_t>(n),
                        first + static_cast<std::ptrdiff_t>(end)}});
    }
    return res;
}

} // namespace endiveward::facts
