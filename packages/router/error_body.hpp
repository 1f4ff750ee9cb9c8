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

/// Formats the error as an error body of the OpenAI API: JSON on one line.
std::string make_error_body(kernel::error const& failure,
                            std::string const& param = {});

/// Adds `Retry-After` if the error has a retry time.
void add_retry_after(kernel::error const& failure,
                     std::vector<wire::header>& fields);

} // namespace endiveward::router

#endif
