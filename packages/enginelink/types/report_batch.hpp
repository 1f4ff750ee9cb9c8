#ifndef ENDIVEWARD_ENGINELINK_TYPES_REPORT_BATCH_HPP
#define ENDIVEWARD_ENGINELINK_TYPES_REPORT_BATCH_HPP

#include "wire/types/cache_change.hpp"
#include "wire/types/engine_state.hpp"

#include <optional>

namespace endiveward::enginelink
{

/// The changes since the last report of an agent.
struct report_batch
{
    std::optional<wire::engine_state> state;
    std::optional<wire::cache_change> cache;
};

} // namespace endiveward::enginelink

#endif
