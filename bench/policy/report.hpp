#ifndef ENDIVEWARD_BENCH_POLICY_REPORT_HPP
#define ENDIVEWARD_BENCH_POLICY_REPORT_HPP

#include "policy/policies.hpp"
#include "policy/run_result.hpp"

#include <string>
#include <vector>

namespace endiveward::bench
{

struct report_row
{
    std::string workload;
    std::string scenario;
    std::uint64_t seed = 0;
    policy_kind policy{};
    run_result result;
};

/// A table for people.
std::string to_table(std::vector<report_row> const& rows);
std::string to_csv(std::vector<report_row> const& rows);
/// One line for each request of each row.
std::string to_trace_csv(std::vector<report_row> const& rows);

} // namespace endiveward::bench

#endif
