#include "kernel/types/error_kind.hpp"
#include "kernel/types/run_state.hpp"

#include <array>
#include <cstddef>

namespace endiveward::kernel
{

namespace
{

struct kind_row
{
    std::string_view code;
    int status;
};

// Indexed by error_kind.
constexpr std::array kind_rows{kind_row{"invalid_request", 400},
                               kind_row{"invalid_key", 401},
                               kind_row{"model_not_found", 404},
                               kind_row{"service_not_found", 404},
                               kind_row{"body_too_large", 413},
                               kind_row{"key_reused", 422},
                               kind_row{"conflict", 409},
                               kind_row{"no_eligible_endpoint", 503},
                               kind_row{"overloaded", 429},
                               kind_row{"draining", 503},
                               kind_row{"stale_configuration", 503},
                               kind_row{"not_eligible", 503},
                               kind_row{"store_unavailable", 503},
                               kind_row{"deadline_exceeded", 504},
                               kind_row{"outcome_unknown", 502},
                               kind_row{"stream_interrupted", 502},
                               kind_row{"connection_lost", 502},
                               kind_row{"protocol_violation", 502},
                               kind_row{"invalid_settings", 500},
                               kind_row{"not_found", 404},
                               kind_row{"internal", 500}};

static_assert(kind_rows.size() ==
              static_cast<std::size_t>(error_kind::internal) + 1);

kind_row const& row_of(error_kind kind)
{
    return kind_rows.at(static_cast<std::size_t>(kind));
}

} // namespace

std::string_view to_string(error_kind kind)
{
    return row_of(kind).code;
}

int http_status(error_kind kind)
{
    return row_of(kind).status;
}

std::string_view to_string(run_state state)
{
    switch (state)
    {
    case run_state::not_run:
        return "not_run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace endiveward::kernel
