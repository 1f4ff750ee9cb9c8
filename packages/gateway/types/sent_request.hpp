#ifndef ENDIVEWARD_GATEWAY_TYPES_SENT_REQUEST_HPP
#define ENDIVEWARD_GATEWAY_TYPES_SENT_REQUEST_HPP

#include "gateway/types/request_work.hpp"
#include "kernel/i_clock.hpp"
#include "kernel/types/identifiers.hpp"

#include <cstdint>
#include <memory>
#include <optional>

namespace endiveward::gateway
{

class endpoint_record;

/// A request that this process has sent to an endpoint.
struct sent_request
{
    std::shared_ptr<endpoint_record> endpoint;
    /// The endpoint's generation at that time.
    std::uint64_t generation = 0;
    kernel::steady_time at{};
    /// The model that the request names.
    std::optional<kernel::model_id> model;
    request_work work;
};

} // namespace endiveward::gateway

#endif
