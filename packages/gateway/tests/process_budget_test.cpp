#include "gateway/process_budget.hpp"
#include "gateway/types/gateway_settings.hpp"

#include <catch2/catch.hpp>

namespace endiveward::gateway
{

namespace
{

constexpr std::size_t megabyte = 1'000'000;

struct machine
{
    std::size_t memory;
    std::size_t descriptors;
};

} // namespace

// Guards against a sum of limits above what a machine has: callers, with an
// eighth more that read their last response, a connection to an endpoint for
// each of them, operators, agents, and files.
TEST_CASE("the budget fits into each machine of the deployments")
{
    auto const it =
        GENERATE(machine{88 * megabyte, 4100}, machine{110 * megabyte, 4100},
                 machine{120 * megabyte, 3075}, machine{160 * megabyte, 4100},
                 machine{260 * megabyte, 4100}, machine{512 * megabyte, 10250});
    auto const budget = budget_of(it.memory, it.descriptors);
    constexpr std::size_t files = 200;
    constexpr std::size_t agents_and_store = 184;
    CHECK(budget.caller_connections * 17 / 8 + agents_and_store + files +
              2 * max_operator_connections <=
          it.descriptors);
    CHECK(budget.caller_connections >= 1000);
    // Small requests may take as much again.
    CHECK(2 * budget.buffer_memory <= it.memory / 2);
    CHECK(2 * budget.max_buffer_memory < it.memory);
    CHECK(budget.buffer_memory >= 20 * megabyte);
}

TEST_CASE("an unknown limit leaves the default in force")
{
    gateway_settings const defaults;
    auto const budget = budget_of(0, 0);
    CHECK(budget.caller_connections == defaults.max_caller_connections);
    CHECK(budget.buffer_memory == defaults.buffer_memory_bytes);
    CHECK(budget.max_buffer_memory == defaults.max_buffer_memory_bytes);
}

TEST_CASE("a process with few descriptors takes some callers")
{
    CHECK(budget_of(0, 100).caller_connections > 0);
}

} // namespace endiveward::gateway
