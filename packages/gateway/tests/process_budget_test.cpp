#include "gateway/process_budget.hpp"
#include "gateway/types/gateway_settings.hpp"

#include <catch2/catch.hpp>

namespace endiveward::gateway
{

namespace
{

constexpr std::size_t megabyte = 1'000'000;

} // namespace

// Guards against a sum of limits above what a machine has.
TEST_CASE("the budget fits into each machine of the deployments")
{
    auto const memory = GENERATE(88 * megabyte, 110 * megabyte, 120 * megabyte,
                                 160 * megabyte, 512 * megabyte);
    auto const budget = budget_of(memory);
    // Small requests may take as much again.
    CHECK(2 * budget.buffer_memory <= memory / 2);
    CHECK(2 * budget.max_buffer_memory < memory);
    CHECK(budget.buffer_memory >= 20 * megabyte);
}

TEST_CASE("an unknown limit leaves the default in force")
{
    gateway_settings const defaults;
    auto const budget = budget_of(0);
    CHECK(budget.buffer_memory == defaults.buffer_memory_bytes);
    CHECK(budget.max_buffer_memory == defaults.max_buffer_memory_bytes);
}

} // namespace endiveward::gateway
