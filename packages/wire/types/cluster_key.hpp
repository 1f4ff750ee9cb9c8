#ifndef ENDIVEWARD_WIRE_TYPES_CLUSTER_KEY_HPP
#define ENDIVEWARD_WIRE_TYPES_CLUSTER_KEY_HPP

#include <cstddef>
#include <string>

namespace endiveward::wire
{

/// Secret shared by the processes of one deployment.
struct cluster_key
{
    /// At least `min_bytes` bytes.
    std::string bytes;

    static constexpr std::size_t min_bytes = 32;
};

} // namespace endiveward::wire

#endif
