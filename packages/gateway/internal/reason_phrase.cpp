#include "gateway/http/reason_phrase.hpp"

#include <http_parser.h>

namespace endiveward::gateway
{

std::string_view reason_phrase(int status)
{
    return http_status_str(static_cast<http_status>(status));
}

} // namespace endiveward::gateway
