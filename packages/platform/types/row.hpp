#ifndef ENDIVEWARD_PLATFORM_TYPES_ROW_HPP
#define ENDIVEWARD_PLATFORM_TYPES_ROW_HPP

#include <cstdint>
#include <string>

namespace endiveward::platform
{

/// A row of the platform's table. The table counts the writes of each row.
struct row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;

    bool operator==(row const&) const = default;
};

} // namespace endiveward::platform

#endif
