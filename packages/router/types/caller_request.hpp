#ifndef ENDIVEWARD_ROUTER_TYPES_CALLER_REQUEST_HPP
#define ENDIVEWARD_ROUTER_TYPES_CALLER_REQUEST_HPP

#include "wire/types/header.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace endiveward::router
{

/// An HTTP request of a caller.
struct caller_request
{
    std::string method;
    /// Path and query.
    std::string target;
    /// Names in lower case.
    std::vector<wire::header> headers;
    std::string body;

    /// Returns the value of the first field with this lower-case name, or an
    /// empty string.
    std::string_view header(std::string_view name) const
    {
        for (auto const& it : headers)
        {
            if (it.name == name)
                return it.value;
        }
        return {};
    }
};

} // namespace endiveward::router

#endif
