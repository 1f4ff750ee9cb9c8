#ifndef ENDIVEWARD_ROUTER_ERROR_BODY_HPP
#define ENDIVEWARD_ROUTER_ERROR_BODY_HPP

#include "wire/types/header.hpp"

#include <string>
#include <vector>

namespace endiveward::kernel
{
struct error;
}

namespace endiveward::router
{

/// The error in OpenAI's shape, JSON on one line.
std::string make_error_body(kernel::error const& failure,
                            std::string const& param = {});

/// Adds `Retry-After` where a retry helps.
void add_retry_after(kernel::error const& failure,
                     std::vector<wire::header>& fields);

} // namespace endiveward::router

#endif
