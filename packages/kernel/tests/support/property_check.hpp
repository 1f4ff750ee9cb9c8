#ifndef ENDIVEWARD_KERNEL_TESTS_SUPPORT_PROPERTY_CHECK_HPP
#define ENDIVEWARD_KERNEL_TESTS_SUPPORT_PROPERTY_CHECK_HPP

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <sstream>

namespace endiveward::kernel::tests
{

/// How much a property is tried.
struct property_effort
{
    int cases = 1000;
    /// Bounds the length of the generated histories.
    int max_size = 100;
};

enum class expected_verdict : std::uint8_t
{
    holds,
    /// The property must find a counterexample, for planted faults.
    counterexample
};

/// Fixed parameters make the verdict repeat; RC_PARAMS overrides them.
inline rc::detail::TestParams fixed_params(property_effort effort)
{
    constexpr std::uint64_t seed = 20'261'203;
    auto params = rc::detail::configuration().testParams;
    if (std::getenv("RC_PARAMS") != nullptr)
        return params;
    params.seed = seed;
    params.maxSuccess = effort.cases;
    params.maxSize = effort.max_size;
    return params;
}

/// Tries a property with RapidCheck and checks the verdict.
inline void check_property(std::function<void()> const& property,
                           property_effort effort, expected_verdict expected)
{
    auto const res = rc::detail::checkTestable(
        property, rc::detail::TestMetadata{}, fixed_params(effort));
    std::ostringstream os;
    rc::detail::printResultMessage(res, os);
    INFO(os.str());
    if (expected == expected_verdict::holds)
        CHECK(res.is<rc::detail::SuccessResult>());
    else
        CHECK(res.is<rc::detail::FailureResult>());
}

} // namespace endiveward::kernel::tests

#endif
