#include "quota/types/limit.hpp"

namespace endiveward::quota
{

namespace
{

constexpr double window_s = std::chrono::duration<double>(window).count();
/// The platform tolerates this share of a window's use, and these tokens.
constexpr double tolerated_share = 0.1;
constexpr double tolerated_tokens = 140000;

} // namespace

double window_use(limit const& it)
{
    return it.rate_per_s * window_s + it.burst;
}

double tolerance(limit const& it)
{
    return tolerated_share * window_use(it) +
           (it.in_tokens ? tolerated_tokens : 0);
}

} // namespace endiveward::quota
