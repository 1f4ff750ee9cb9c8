#include "gateway/attempt_timeouts.hpp"

#include "gateway/types/route.hpp"

#include <algorithm>
#include <cstdint>

namespace endiveward::gateway
{

namespace
{

using std::chrono::milliseconds;

/// A plain call without a response after this share of its target latency is
/// sent to another endpoint, which can then still answer in time.
constexpr double plain_share = 0.6;
/// The same for the first event of a stream, whose latency varies more, and for
/// the gap between events of a resumable stream.
constexpr double stream_share = 0.8;
/// Share while the endpoint still sends output to other requests. The request
/// is then only slow, and discarding its progress costs more than waiting.
constexpr double busy_endpoint_share = 2.5;
constexpr milliseconds min_timeout{40};
/// An endpoint may take up to this many times the expected time.
constexpr int expectation_factor = 2;

milliseconds share_of(milliseconds time, double share)
{
    return milliseconds(
        static_cast<std::int64_t>(static_cast<double>(time.count()) * share));
}

} // namespace

milliseconds first_byte_timeout(route const& target, milliseconds expected,
                                bool endpoint_stalled)
{
    auto share = plain_share;
    if (is_stream(target.kind))
        share = endpoint_stalled ? stream_share : busy_endpoint_share;
    return std::max({share_of(target.target_latency, share), min_timeout,
                     expected * expectation_factor});
}

milliseconds event_gap_timeout(route const& target, bool endpoint_stalled)
{
    auto const share = endpoint_stalled ? stream_share : busy_endpoint_share;
    return std::max(share_of(target.target_gap, share), min_timeout);
}

} // namespace endiveward::gateway
