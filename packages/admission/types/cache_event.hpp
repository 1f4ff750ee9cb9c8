#ifndef ENDIVEWARD_ADMISSION_TYPES_CACHE_EVENT_HPP
#define ENDIVEWARD_ADMISSION_TYPES_CACHE_EVENT_HPP

#include "kernel/types/hash128.hpp"
#include "kernel/types/identifiers.hpp"

#include <cstdint>

namespace endiveward::admission
{

enum class cache_event_kind : std::uint8_t
{
    stored,
    evicted
};

/// One event of an engine's cache event stream. Within an incarnation the
/// numbers are consecutive; a gap shows that events were lost.
struct cache_event
{
    kernel::incarnation engine_incarnation = 0;
    std::uint64_t number = 0;
    cache_event_kind kind = cache_event_kind::stored;
    kernel::hash128 block;
};

} // namespace endiveward::admission

#endif
