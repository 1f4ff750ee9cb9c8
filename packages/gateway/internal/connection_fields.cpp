#include "gateway/http/connection_fields.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace endiveward::gateway
{

namespace
{

constexpr std::array<std::string_view, 9> standard_fields{
    "Connection",    "Keep-Alive",         "Proxy-Connection",  "TE",
    "Trailer",       "Proxy-Authenticate", "Transfer-Encoding", "Upgrade",
    "Content-Length"};

bool comes_before(std::string_view a, std::string_view b)
{
    return std::lexicographical_compare(
        a.begin(), a.end(), b.begin(), b.end(),
        [](unsigned char x, unsigned char y)
        { return std::tolower(x) < std::tolower(y); });
}

} // namespace

connection_fields::connection_fields(header_list const& headers)
{
    headers.for_each_token("Connection",
                           [this](std::string_view token)
                           {
                               named_.push_back(token);
                               return true;
                           });
    std::sort(named_.begin(), named_.end(), comes_before);
}

bool connection_fields::contains(std::string_view name) const
{
    return std::any_of(standard_fields.begin(), standard_fields.end(),
                       [name](auto it) { return equal_names(it, name); }) ||
           std::binary_search(named_.begin(), named_.end(), name, comes_before);
}

} // namespace endiveward::gateway
