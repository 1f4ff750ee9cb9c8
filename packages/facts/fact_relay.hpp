#ifndef ENDIVEWARD_FACTS_FACT_RELAY_HPP
#define ENDIVEWARD_FACTS_FACT_RELAY_HPP

#include "facts/fact_table.hpp"

#include <cstddef>
#include <vector>

namespace endiveward::facts
{

/// Largest number of facts in one message.
constexpr std::size_t max_facts_per_report = 512;

/// Decides what an agent passes on between routers, which have no links to each
/// other. No I/O.
class fact_relay
{
public:
    /// Returns true if there is something new to pass on.
    bool on_report(wire::fact_report const& report, kernel::steady_time now);
    /// What has come since the last call, in messages of bounded size. Only the
    /// newest value of a fact is passed on.
    std::vector<wire::fact_report> take_pending(kernel::steady_time now);
    /// What a router that connects is told.
    std::vector<wire::fact_report> snapshot(kernel::steady_time now) const;

private:
    fact_table known_;
    /// What is to be passed on.
    fact_table pending_;
};

/// Splits facts into messages of bounded size.
std::vector<wire::fact_report> to_reports(std::vector<wire::fact> facts);

} // namespace endiveward::facts

#endif
