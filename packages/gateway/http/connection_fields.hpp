#ifndef ENDIVEWARD_GATEWAY_HTTP_CONNECTION_FIELDS_HPP
#define ENDIVEWARD_GATEWAY_HTTP_CONNECTION_FIELDS_HPP

#include "gateway/http/header_list.hpp"

#include <string_view>
#include <vector>

namespace endiveward::gateway
{

/// The hop-by-hop fields of a message: the standard ones and those that its
/// `Connection` fields name. Valid as long as the message's list of fields.
class connection_fields
{
public:
    explicit connection_fields(header_list const& headers);

    bool contains(std::string_view name) const;

private:
    /// Sorted, so that a head of many fields and many names does not take their
    /// product in time.
    std::vector<std::string_view> named_;
};

} // namespace endiveward::gateway

#endif
