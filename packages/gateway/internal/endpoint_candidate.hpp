#ifndef ENDIVEWARD_GATEWAY_INTERNAL_ENDPOINT_CANDIDATE_HPP
#define ENDIVEWARD_GATEWAY_INTERNAL_ENDPOINT_CANDIDATE_HPP

#include "gateway/endpoint_chooser.hpp"

#include <xxhash.h>

#include <cstdint>
#include <string>

namespace endiveward::gateway
{

struct endpoint_chooser::candidate
{
    placement_choice choice;
    double cost = 0;
    /// Factor to the nominal speed.
    double speed = 1;
    /// Whether the first output is expected after the target latency.
    bool late = false;
};

inline std::uint64_t rendezvous_rank(std::string const& id,
                                     std::uint64_t prefix)
{
    return XXH3_64bits_withSeed(id.data(), id.size(), prefix);
}

} // namespace endiveward::gateway

#endif
