#ifndef ENDIVEWARD_KERNEL_TYPES_ERROR_HPP
#define ENDIVEWARD_KERNEL_TYPES_ERROR_HPP

#include "kernel/types/error_kind.hpp"
#include "kernel/types/run_state.hpp"

#include <chrono>
#include <optional>
#include <string>

namespace endiveward::kernel
{

/// A failure, with a message that names the remedy.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;
    run_state run = run_state::not_run;
    /// Set where a retry is expected to help.
    std::optional<std::chrono::milliseconds> retry_after;

    bool operator==(error const&) const = default;
};

} // namespace endiveward::kernel

#endif
