#include "gateway/endpoint_key.hpp"

#include "gateway/types/endpoint_entry.hpp"

#include <xxhash.h>

namespace endiveward::gateway
{

std::uint64_t endpoint_key(endpoint_entry const& entry)
{
    auto const& id = entry.id.str();
    return XXH3_64bits_withSeed(id.data(), id.size(), entry.incarnation);
}

} // namespace endiveward::gateway
