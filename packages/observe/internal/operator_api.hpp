#ifndef ENDIVEWARD_OBSERVE_OPERATOR_API_HPP
#define ENDIVEWARD_OBSERVE_OPERATOR_API_HPP

#include "observe/operator_server.hpp"

#include <string>
#include <string_view>

namespace endiveward::observe
{

struct operator_response
{
    int status = 200;
    std::string content_type;
    std::string body;
};

/// Answers operators' requests, independent of the HTTP library.
class operator_api
{
public:
    explicit operator_api(operator_server_options options);

    /// `authorization` is the value of the header of that name, or empty.
    operator_response get(std::string_view path,
                          std::string_view authorization) const;

private:
    bool authorized(std::string_view authorization) const;
    operator_response ready() const;
    operator_response metrics() const;
    operator_response state() const;
    operator_response state_section(std::string_view section) const;

    operator_server_options const options_;
};

} // namespace endiveward::observe

#endif
