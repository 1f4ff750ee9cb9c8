#include "gateway/report_share.hpp"

#include "gateway/endpoint_record.hpp"
#include "gateway/types/endpoint_requirements.hpp"

#include <xxhash.h>

#include <array>
#include <cmath>

namespace endiveward::gateway
{

namespace
{

constexpr int mantissa_bits = 53;

/// A number in [0, 1) that is the same until the endpoint's next report.
double draw(endpoint_record const& endpoint, std::uint64_t process_seed)
{
    auto const& id = endpoint.entry().id.str();
    std::array const words{
        process_seed, static_cast<std::uint64_t>(
                          endpoint.reported_at()->time_since_epoch().count())};
    auto const seed = XXH3_64bits(words.data(), sizeof(words));
    auto const hash = XXH3_64bits_withSeed(id.data(), id.size(), seed);
    return std::ldexp(static_cast<double>(hash >> (64 - mantissa_bits)),
                      -mantissa_bits);
}

} // namespace

// Load pattern: engines are full, and requests wait at all routers. When a
// report shows that memory for one request has become free, each router would
// send one. The shares are smaller than most requests, so a draw decides which
// router sends. Its result is the same until the next report, or asking often
// enough would always win, and what was sent since the last report uses up the
// share.
bool has_report_share(endpoint_record const& endpoint,
                      request_footprint const& footprint,
                      free_capacity const& free,
                      endpoint_requirements const& requirements)
{
    if (requirements.contenders <= 1 || !endpoint.linked() ||
        !endpoint.reported_at())
        return true;
    auto const drawn = draw(endpoint, requirements.process_seed);
    auto const n = static_cast<double>(requirements.contenders);
    auto const& sent = endpoint.sent_since_report();
    auto const has_share =
        [&](double available, std::uint32_t used, std::uint32_t needed)
    { return drawn * needed + used < (available + used) / n; };
    return has_share(free.memory_tokens, sent.memory_tokens,
                     footprint.memory_tokens) &&
           has_share(free.work_tokens, sent.uncached_tokens,
                     footprint.uncached_tokens);
}

} // namespace endiveward::gateway
