#include "storage/internal/store_answer.hpp"

#include <fmt/format.h>

namespace endiveward::storage
{

kernel::error indefinite_answer(http_response const& response)
{
    kernel::error res{
        kernel::error_kind::store_unavailable,
        fmt::format("the platform's store gave no definite answer (status "
                    "{}); retry later",
                    response.status),
        response.status == 503 ? kernel::run_state::not_run
                               : kernel::run_state::unknown,
        std::nullopt};
    if (response.retry_after)
        res.retry_after = *response.retry_after;
    return res;
}

} // namespace endiveward::storage
