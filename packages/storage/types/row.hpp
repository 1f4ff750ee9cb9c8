#ifndef ENDIVEWARD_STORAGE_TYPES_ROW_HPP
#define ENDIVEWARD_STORAGE_TYPES_ROW_HPP

#include <cstdint>
#include <string>

namespace endiveward::storage
{

/// A row of the platform's table. The table counts the writes of each row.
struct row
{
    std::string key;
    std::string value;
    std::uint64_t version = 0;

    bool operator==(row const&) const = default;
};

} // namespace endiveward::storage

#endif
