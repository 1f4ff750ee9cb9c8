#include "resumption/stream_key.hpp"

#include <xxhash.h>

namespace endiveward::resumption
{

std::uint64_t stream_key(std::string_view request_id)
{
    return XXH3_64bits(request_id.data(), request_id.size());
}

} // namespace endiveward::resumption
