#ifndef ENDIVEWARD_AVAILABILITY_LEAVING_NOTICE_READER_HPP
#define ENDIVEWARD_AVAILABILITY_LEAVING_NOTICE_READER_HPP

#include "availability/types/leaving_notice.hpp"

#include <optional>
#include <string_view>

namespace endiveward::availability
{

/// Reads the value of the field; null if an answer has no such field. `1` means
/// leaving, `0` and an absent field mean nothing, any other value is
/// unreadable.
leaving_notice read_leaving_notice(std::optional<std::string_view> value);

} // namespace endiveward::availability

#endif
