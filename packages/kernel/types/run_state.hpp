#ifndef ENDIVEWARD_KERNEL_TYPES_RUN_STATE_HPP
#define ENDIVEWARD_KERNEL_TYPES_RUN_STATE_HPP

#include <cstdint>
#include <string_view>

namespace endiveward::kernel
{

/// Whether a failed request reached its endpoint.
enum class run_state : std::uint8_t
{
    not_run, ///< The endpoint was never contacted for this request.
    unknown, ///< The endpoint may have run the request.
    ran      ///< The endpoint has run the request.
};

std::string_view to_string(run_state state);

} // namespace endiveward::kernel

#endif
