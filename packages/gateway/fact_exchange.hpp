#ifndef ENDIVEWARD_GATEWAY_FACT_EXCHANGE_HPP
#define ENDIVEWARD_GATEWAY_FACT_EXCHANGE_HPP

#include "facts/fact_table.hpp"
#include "kernel/i_clock.hpp"
#include "wire/types/fact_report.hpp"

#include <asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace endiveward::gateway
{

/// Shares facts with the other routers. Used on the traffic thread.
class fact_exchange
{
public:
    using fact_handler = std::function<void(wire::fact const&)>;
    using report_handler = std::function<void(wire::fact_report)>;

    /// `seed` should differ between processes.
    fact_exchange(asio::io_context& context, kernel::i_clock const& clock,
                  std::uint64_t seed);

    /// Sets who passes reports on to other processes.
    void set_report_handler(report_handler handler);
    /// Sets who gets each new value that another process states.
    void set_handler(wire::fact_kind kind, fact_handler handler);

    /// Identifies this start of the process as a source.
    std::uint64_t source() const { return source_; }
    /// States a new value of this process. Reports are sent at most
    /// each tenth of a second, with the last value of each fact.
    void state(wire::fact_kind kind, std::uint64_t key, std::uint64_t source,
               double value);
    void on_report(wire::fact_report const& report);

private:
    void plan_report();

    kernel::i_clock const& clock_;
    std::uint64_t const source_;
    std::uint32_t last_revision_ = 0;
    facts::fact_table known_;
    facts::fact_table unreported_;
    std::map<wire::fact_kind, fact_handler> handlers_;
    report_handler on_report_;
    asio::steady_timer timer_;
    bool report_planned_ = false;
    std::optional<kernel::steady_time> last_report_;
};

} // namespace endiveward::gateway

#endif
